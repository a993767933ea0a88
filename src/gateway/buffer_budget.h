#ifndef SRC_GATEWAY_BUFFER_BUDGET_H_
#define SRC_GATEWAY_BUFFER_BUDGET_H_

#include <cstddef>

namespace pimentospar {

/// Limits the bytes of all bodies that are kept in memory.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t limit) : limit(limit) {}

  /// Returns false, and reserves nothing, if the limit would be exceeded.
  [[nodiscard]] bool TryReserve(std::size_t bytes) {
    if (bytes > this->limit - this->reserved) {
      return false;
    }
    this->reserved += bytes;
    return true;
  }
  void Release(std::size_t bytes) { this->reserved -= bytes; }
  [[nodiscard]] std::size_t Reserved() const { return this->reserved; }

 private:
  std::size_t limit;
  std::size_t reserved = 0;
};

/// What one body takes of a budget, until the object is destroyed.
class BufferReservation {
 public:
  explicit BufferReservation(BufferBudget& budget) : budget(budget) {}
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;
  ~BufferReservation() { this->budget.Release(this->bytes); }

  /// Reserves what a body of `size` bytes needs beyond what is reserved;
  /// returns false if the budget does not have it.
  [[nodiscard]] bool GrowTo(std::size_t size) {
    if (size <= this->bytes) {
      return true;
    }
    if (!this->budget.TryReserve(size - this->bytes)) {
      return false;
    }
    this->bytes = size;
    return true;
  }
  /// Returns the number of reserved bytes.
  [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

 private:
  BufferBudget& budget;
  std::size_t bytes = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_BUFFER_BUDGET_H_
