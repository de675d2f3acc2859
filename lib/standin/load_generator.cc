#include "wisteriarill/standin/load_generator.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "wisteriarill/process/bounded_queue.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kResponseTimeout = seconds(10);
// A request is dropped if this many others wait for a connection.
constexpr std::size_t kMaxQueued = 1U << 20;
// Upper bound on a wait, so that threads notice a stop.
constexpr nanoseconds kMaxWait = milliseconds(50);

// Returns true also if there is no id or no successful response to check.
bool BodyHasRequestId(const HttpCallResult& result) {
  if (result.status != 200 || result.request_id.empty()) return true;
  return result.body.find(result.request_id) != std::string::npos;
}

}  // namespace

class LoadGenerator::Impl {
 public:
  Impl(std::vector<LoadStream> streams, int connections, std::uint64_t seed)
      : streams_(std::move(streams)),
        connections_(connections),
        seed_(seed),
        queue_(kMaxQueued) {}

  void Start() {
    for (int i = 0; i < connections_; ++i) {
      workers_.emplace_back([this] { SendRequests(); });
    }
    scheduler_ = std::thread([this] { ScheduleRequests(); });
  }

  std::vector<LoadSample> Stop() {
    stopping_ = true;
    if (scheduler_.joinable()) scheduler_.join();
    queue_.Close();
    for (std::thread& worker : workers_) worker.join();
    workers_.clear();
    std::sort(samples_.begin(), samples_.end(),
              [](const LoadSample& a, const LoadSample& b) {
                return a.intended_start < b.intended_start;
              });
    return std::move(samples_);
  }

 private:
  struct ScheduledRequest {
    std::size_t stream;
    std::string address;
    Instant intended;
  };

  // Gives each generator of the process its own range of Load-Id values.
  static std::uint64_t NextLoadIdBase() {
    static std::atomic<std::uint64_t> generators{0};
    return ++generators * 1'000'000'000;
  }

  // Queues requests at their intended starts.
  void ScheduleRequests() {
    std::mt19937_64 random(seed_);
    std::vector<Instant> next_start(streams_.size(), BootClock::now());
    const auto advance = [&](std::size_t i) {
      std::exponential_distribution<double> interval(streams_[i].rate);
      next_start[i] +=
          nanoseconds(static_cast<std::int64_t>(interval(random) * 1e9));
    };
    for (std::size_t i = 0; i < streams_.size(); ++i) advance(i);
    while (!stopping_ && !streams_.empty()) {
      const auto earliest =
          std::min_element(next_start.begin(), next_start.end());
      const auto i = static_cast<std::size_t>(earliest - next_start.begin());
      const nanoseconds wait = *earliest - BootClock::now();
      if (wait > nanoseconds::zero()) {
        std::this_thread::sleep_for(std::min(wait, kMaxWait));
        if (wait > kMaxWait) continue;
      }
      const auto& addresses = streams_[i].addresses;
      queue_.TryPush({i, addresses[random() % addresses.size()], *earliest});
      advance(i);
    }
  }

  void SendRequests() {
    std::map<std::string, std::unique_ptr<HttpConnection>> connections;
    std::vector<LoadSample> samples;
    while (true) {
      const std::optional<ScheduledRequest> request = queue_.PopFor(kMaxWait);
      if (!request.has_value()) {
        if (queue_.closed()) break;
        continue;
      }
      auto& connection = connections[request->address];
      if (connection == nullptr) {
        connection = std::make_unique<HttpConnection>(request->address,
                                                      kResponseTimeout);
      }
      const LoadStream& stream = streams_[request->stream];
      LoadSample sample;
      sample.workspace = stream.workspace;
      sample.intended_start = request->intended;
      sample.sent = BootClock::now();
      HttpCall call = stream.call;
      call.headers["Load-Id"] = std::to_string(++last_load_id_);
      const HttpCallResult result = connection->Call(call);
      sample.done = BootClock::now();
      sample.status = result.status;
      sample.outcome = result.outcome;
      sample.request_id = result.request_id;
      sample.body_has_request_id = BodyHasRequestId(result);
      samples.push_back(std::move(sample));
    }
    const std::lock_guard lock(mutex_);
    samples_.insert(samples_.end(), samples.begin(), samples.end());
  }

  const std::vector<LoadStream> streams_;
  const int connections_;
  const std::uint64_t seed_;
  BoundedQueue<ScheduledRequest> queue_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> last_load_id_{NextLoadIdBase()};
  std::thread scheduler_;
  std::vector<std::thread> workers_;
  std::mutex mutex_;
  std::vector<LoadSample> samples_;
};

LoadGenerator::LoadGenerator(std::vector<LoadStream> streams, int connections,
                             std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(streams), connections, seed)) {}

LoadGenerator::~LoadGenerator() { impl_->Stop(); }

void LoadGenerator::Start() { impl_->Start(); }

std::vector<LoadSample> LoadGenerator::Stop() { return impl_->Stop(); }

double Percentile(const std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(rank, values.size() - 1)];
}

std::map<std::string, LoadSummary> Summarize(
    const std::vector<LoadSample>& samples, Instant from, Instant to) {
  std::map<std::string, LoadSummary> summaries;
  std::map<std::string, std::vector<double>> latencies;
  for (const LoadSample& sample : samples) {
    if (sample.intended_start < from || sample.intended_start >= to) continue;
    LoadSummary& summary = summaries[sample.workspace];
    ++summary.offered;
    if (sample.status == 200) {
      ++summary.succeeded;
      latencies[sample.workspace].push_back(
          std::chrono::duration<double, std::milli>(sample.done -
                                                    sample.intended_start)
              .count());
    } else if (sample.status == 429) {
      ++summary.rate_limited;
    } else if (sample.status == 503) {
      ++summary.not_run;
    } else if (sample.status == 0 || sample.status == 502 ||
               sample.status == 504) {
      ++summary.unknown;
    } else {
      ++summary.other;
    }
  }
  for (auto& [workspace, values] : latencies) {
    std::sort(values.begin(), values.end());
    LoadSummary& summary = summaries[workspace];
    summary.p50 = Percentile(values, 0.5);
    summary.p99 = Percentile(values, 0.99);
    summary.p999 = Percentile(values, 0.999);
    summary.max = values.back();
  }
  return summaries;
}

}  // namespace wisteriarill
