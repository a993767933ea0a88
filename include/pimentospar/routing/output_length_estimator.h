#ifndef INCLUDE_PIMENTOSPAR_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace pimentospar {

/// Where a request comes from; the workspace may be empty.
struct OutputSource {
  std::string_view route;
  std::string_view model;
  std::string_view workspace;
};

/// Moving mean and variance of logarithms.
struct LogMoments {
  double mean = 0;
  double variance = 0;
  double samples = 0;

  void Add(double value);
};

/// Estimates the output tokens of a request from the ended requests of its
/// route, model and workspace, and from the caller's hint. Each counts as much
/// as it was right before.
class OutputLengthEstimator {
 public:
  /// A request ended with `tokens` output tokens.
  void OnEnd(const OutputSource& source,
             std::optional<std::uint32_t> hint,
             double tokens);
  /// Returns the expected number of output tokens; 0 if nothing is known.
  [[nodiscard]] double ExpectedTokens(const OutputSource& source,
                                      std::optional<std::uint32_t> hint) const;
  /// Returns the number of sources that are remembered.
  [[nodiscard]] std::size_t Size() const { return this->cells.size(); }

 private:
  /// What is known of a route, of a model on it, or of a workspace that uses
  /// the model.
  struct Cell {
    std::uint64_t key = 0;
    LogMoments length;
    /// Logarithm of actual by hinted length.
    LogMoments hint_error;
  };
  static constexpr std::size_t kLevels = 3;
  using Keys = std::array<std::uint64_t, kLevels>;

  [[nodiscard]] static Keys KeysOf(const OutputSource& source);
  [[nodiscard]] Cell& UseCell(std::uint64_t key);
  /// Blends the moments of all levels, the most specific last; a level counts
  /// by the number of its samples.
  [[nodiscard]] LogMoments Blend(const Keys& keys,
                                 LogMoments Cell::*moments) const;

  /// Most recently used first.
  std::list<Cell> cells;
  std::unordered_map<std::uint64_t, std::list<Cell>::iterator> index;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_OUTPUT_LENGTH_ESTIMATOR_H_
