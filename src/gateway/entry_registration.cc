#include "gateway/entry_registration.h"

#include <charconv>
#include <cmath>

namespace pimentospar {

namespace {

constexpr double kMillicoresPerCore = 1000;

}  // namespace

std::string Encode(const EntryRegistration& registration) {
  const long millicores =
      std::lround(registration.processor_cores * kMillicoresPerCore);
  return ToString(registration.address) + " " + std::to_string(millicores);
}

std::optional<EntryRegistration> DecodeEntryRegistration(
    std::string_view text) {
  const std::size_t space = text.find(' ');
  const auto address = ParseAddress(text.substr(0, space));
  if (!address) {
    return std::nullopt;
  }
  EntryRegistration registration{*address, 0};
  if (space == std::string_view::npos) {
    return registration;
  }
  const std::string_view digits = text.substr(space + 1);
  std::uint32_t millicores = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), millicores);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  registration.processor_cores = millicores / kMillicoresPerCore;
  return registration;
}

}  // namespace pimentospar
