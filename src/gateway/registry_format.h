#ifndef SRC_GATEWAY_REGISTRY_FORMAT_H_
#define SRC_GATEWAY_REGISTRY_FORMAT_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "pimentospar/routing/route_table.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

namespace leaf = boost::leaf;

/// Why a value on the shared log cannot be decoded.
struct FormatError {
  std::string detail;
};

/// Stream names and encoding of the configuration and of target registrations
/// on the shared log.
class RegistryFormat {
 public:
  virtual ~RegistryFormat() = default;

  [[nodiscard]] virtual std::string_view ConfigStream() const = 0;
  [[nodiscard]] virtual std::string_view ConfigKey() const = 0;
  [[nodiscard]] virtual std::string_view TargetStream() const = 0;
  /// Returns the stream on which the entries register.
  [[nodiscard]] virtual std::string_view EntryStream() const = 0;

  /// Returns the stream on which the entries publish causes of crashes.
  [[nodiscard]] virtual std::string_view CrashCauseStream() const = 0;

  /// Fails with `FormatError`.
  [[nodiscard]] virtual leaf::result<RoutingConfig> DecodeConfig(
      std::string_view value) const = 0;
  /// Fails with `FormatError`.
  [[nodiscard]] virtual leaf::result<TargetDescription> DecodeTarget(
      const TargetId& id,
      std::string_view value) const = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_REGISTRY_FORMAT_H_
