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

constexpr nanoseconds kReplyTimeout = seconds(10);
constexpr std::size_t kMostWaiting = 1U << 20;
constexpr nanoseconds kWait = milliseconds(50);

bool NamesOwnId(const HttpCallResult& reply) {
  if (reply.status != 200 || reply.request_id.empty()) return true;
  return reply.body.find(reply.request_id) != std::string::npos;
}

}  // namespace

class LoadGenerator::Impl {
 public:
  Impl(std::vector<LoadStream> streams, int connections, std::uint64_t seed)
      : streams_(std::move(streams)),
        connections_(connections),
        seed_(seed),
        due_(kMostWaiting) {}

  void Start() {
    for (int i = 0; i < connections_; ++i) {
      workers_.emplace_back([this] { Work(); });
    }
    pacer_ = std::thread([this] { Pace(); });
  }

  std::vector<LoadSample> Stop() {
    stopping_ = true;
    if (pacer_.joinable()) pacer_.join();
    due_.Close();
    for (std::thread& worker : workers_) worker.join();
    workers_.clear();
    std::sort(samples_.begin(), samples_.end(),
              [](const LoadSample& a, const LoadSample& b) {
                return a.intended_start < b.intended_start;
              });
    return std::move(samples_);
  }

 private:
  struct Due {
    std::size_t stream;
    std::string address;
    Instant intended;
  };

  // Generators of one process name their requests apart.
  static std::uint64_t NextBase() {
    static std::atomic<std::uint64_t> generators{0};
    return ++generators * 1'000'000'000;
  }

  // Puts requests into the queue at their intended starts.
  void Pace() {
    std::mt19937_64 random(seed_);
    std::vector<Instant> next(streams_.size(), BootClock::now());
    const auto advance = [&](std::size_t i) {
      std::exponential_distribution<double> gap(streams_[i].rate);
      next[i] += nanoseconds(static_cast<std::int64_t>(gap(random) * 1e9));
    };
    for (std::size_t i = 0; i < streams_.size(); ++i) advance(i);
    while (!stopping_ && !streams_.empty()) {
      const auto soonest = std::min_element(next.begin(), next.end());
      const auto i = static_cast<std::size_t>(soonest - next.begin());
      const nanoseconds wait = *soonest - BootClock::now();
      if (wait > nanoseconds::zero()) {
        std::this_thread::sleep_for(std::min(wait, kWait));
        if (wait > kWait) continue;
      }
      const auto& addresses = streams_[i].addresses;
      due_.TryPush({i, addresses[random() % addresses.size()], *soonest});
      advance(i);
    }
  }

  void Work() {
    std::map<std::string, std::unique_ptr<HttpConnection>> connections;
    std::vector<LoadSample> samples;
    while (true) {
      const std::optional<Due> due = due_.PopFor(kWait);
      if (!due.has_value()) {
        if (due_.closed()) break;
        continue;
      }
      auto& connection = connections[due->address];
      if (connection == nullptr) {
        connection =
            std::make_unique<HttpConnection>(due->address, kReplyTimeout);
      }
      const LoadStream& stream = streams_[due->stream];
      LoadSample sample;
      sample.workspace = stream.workspace;
      sample.intended_start = due->intended;
      sample.sent = BootClock::now();
      HttpCall call = stream.call;
      call.headers["Load-Id"] = std::to_string(++last_load_id_);
      const HttpCallResult reply = connection->Call(call);
      sample.done = BootClock::now();
      sample.status = reply.status;
      sample.outcome = reply.outcome;
      sample.request_id = reply.request_id;
      sample.own_answer = NamesOwnId(reply);
      samples.push_back(std::move(sample));
    }
    const std::lock_guard lock(mutex_);
    samples_.insert(samples_.end(), samples.begin(), samples.end());
  }

  const std::vector<LoadStream> streams_;
  const int connections_;
  const std::uint64_t seed_;
  BoundedQueue<Due> due_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> last_load_id_{NextBase()};
  std::thread pacer_;
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
