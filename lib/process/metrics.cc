#include "wisteriarill/process/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace wisteriarill {
namespace {

namespace ba = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

using LatencyAccumulator =
    ba::accumulator_set<double,
                        ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max,
                                  ba::tag::extended_p_square>>;

LatencyAccumulator MakeAccumulator() {
  return LatencyAccumulator(ba::extended_p_square_probabilities = kQuantiles);
}

std::string Labels(const std::string& workspace, CallClass call_class) {
  return "workspace=\"" + workspace + "\",class=\"" +
         std::string(ToString(call_class)) + "\"";
}

}  // namespace

std::string_view ToString(CallClass call_class) {
  switch (call_class) {
    case CallClass::kInternal:
      return "internal";
    case CallClass::kInteractive:
      return "interactive";
    case CallClass::kBulk:
      return "bulk";
  }
  return "interactive";
}

class Metrics::Impl {
 public:
  void RecordCall(const CallRecord& record) {
    const std::lock_guard lock(mutex_);
    ++calls_[{record.workspace, record.call_class, record.outcome,
              record.refusal}];
    if (record.outcome != Outcome::kDone) return;
    const LatencyKey key{record.workspace, record.call_class};
    auto found = latencies_.find(key);
    if (found == latencies_.end()) {
      found = latencies_.emplace(key, MakeAccumulator()).first;
    }
    found->second(
        std::chrono::duration<double, std::milli>(record.latency).count());
  }

  void Add(std::string_view counter, std::uint64_t amount) {
    const std::lock_guard lock(mutex_);
    counters_[std::string(counter)] += amount;
  }

  void Set(std::string_view gauge, double value) {
    const std::lock_guard lock(mutex_);
    gauges_[std::string(gauge)] = value;
  }

  std::string Render() const {
    const std::lock_guard lock(mutex_);
    std::ostringstream text;
    for (const auto& [key, count] : calls_) {
      const auto& [workspace, call_class, outcome, refusal] = key;
      text << "wisteria_calls_total{" << Labels(workspace, call_class)
           << ",outcome=\"" << ToString(outcome) << "\",refusal=\""
           << ToString(refusal) << "\"} " << count << "\n";
    }
    for (const auto& [key, accumulator] : latencies_) {
      RenderLatency(Labels(key.first, key.second), accumulator, &text);
    }
    for (const auto& [name, value] : counters_) {
      text << "wisteria_" << name << "_total " << value << "\n";
    }
    for (const auto& [name, value] : gauges_) {
      text << "wisteria_" << name << " " << value << "\n";
    }
    return text.str();
  }

 private:
  using CallKey = std::tuple<std::string, CallClass, Outcome, Refusal>;
  using LatencyKey = std::pair<std::string, CallClass>;

  static void RenderLatency(const std::string& labels,
                            const LatencyAccumulator& accumulator,
                            std::ostringstream* text) {
    const std::string name = "wisteria_call_latency_ms";
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      *text << name << "{" << labels << ",quantile=\"" << kQuantiles.at(i)
            << "\"} "
            << ba::extended_p_square(
                   accumulator)[static_cast<std::ptrdiff_t>(i)]
            << "\n";
    }
    *text << name << "_mean{" << labels << "} " << ba::mean(accumulator)
          << "\n";
    *text << name << "_max{" << labels << "} " << ba::max(accumulator) << "\n";
    *text << name << "_count{" << labels << "} " << ba::count(accumulator)
          << "\n";
  }

  mutable std::mutex mutex_;
  std::map<CallKey, std::uint64_t> calls_;
  std::map<LatencyKey, LatencyAccumulator> latencies_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::RecordCall(const CallRecord& record) {
  impl_->RecordCall(record);
}

void Metrics::Add(std::string_view counter, std::uint64_t amount) {
  impl_->Add(counter, amount);
}

void Metrics::Set(std::string_view gauge, double value) {
  impl_->Set(gauge, value);
}

std::string Metrics::Render() const { return impl_->Render(); }

}  // namespace wisteriarill
