#include "pimentospar/routing/retry_window.h"

#include <algorithm>

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kSliceLength{100};

}  // namespace

RetryWindow::Slice& RetryWindow::Current(Usage& usage) {
  const TimePoint now = this->clock.Now();
  while (!usage.slices.empty() && now - usage.slices.front().start >=
                                      this->options.window + kSliceLength) {
    usage.requests -= usage.slices.front().requests;
    usage.repeats -= usage.slices.front().repeats;
    usage.slices.pop_front();
  }
  if (usage.slices.empty() || now - usage.slices.back().start >= kSliceLength) {
    usage.slices.push_back({now, 0, 0});
  }
  return usage.slices.back();
}

void RetryWindow::OnRequest(const ServiceId& service) {
  Usage& usage = this->usage[service];
  ++this->Current(usage).requests;
  ++usage.requests;
}

bool RetryWindow::TryTake(const ServiceId& service, std::size_t entries) {
  Usage& usage = this->usage[service];
  Slice& slice = this->Current(usage);
  const double allowed =
      this->options.margin *
      (this->options.ratio * static_cast<double>(usage.requests) +
       this->options.slack /
           static_cast<double>(std::max<std::size_t>(entries, 1)));
  if (static_cast<double>(usage.repeats + 1) > allowed) {
    return false;
  }
  ++slice.repeats;
  ++usage.repeats;
  return true;
}

}  // namespace pimentospar
