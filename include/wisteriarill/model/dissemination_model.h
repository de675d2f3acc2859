/// \file
/// Simulation of configuration dissemination among many nodes, in one process
/// and with simulated time. Uses the production codec and a platform that
/// counts and limits reads.
#ifndef WISTERIARILL_MODEL_DISSEMINATION_MODEL_H_
#define WISTERIARILL_MODEL_DISSEMINATION_MODEL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "wisteriarill/model/event_queue.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {

struct DisseminationModelOptions {
  std::uint64_t seed = 1;  ///< Of the random number generator.
  nanoseconds same_domain_delay = microseconds(300);  ///< Of messages, one way.
  nanoseconds cross_domain_delay = milliseconds(1);   ///< Of messages, one way.
  nanoseconds platform_delay = milliseconds(3);  ///< Until a read is handled.
  /// Read limit of the platform. It refuses further reads within the same
  /// second.
  std::uint32_t platform_reads_per_second = 2000;
  /// The model sets name, address, failure domain, fleet size and seeds.
  ConfigDisseminatorOptions disseminator;
};

/// Messages and platform reads since the model was created.
struct DisseminationModelCounts {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;           ///< Of the encoded messages.
  std::uint64_t platform_reads = 0;  ///< Includes refused reads.
  std::uint64_t refused_reads = 0;
  std::uint64_t max_reads_per_second = 0;
};

/// Simulates nodes that watch the platform and pass configuration versions on
/// to each other.
class DisseminationModel {
 public:
  /// Starts one process without a version beside each server of `deployment`.
  DisseminationModel(DisseminationModelOptions options,
                     const Deployment& deployment);
  ~DisseminationModel();
  DisseminationModel(const DisseminationModel&) = delete;
  DisseminationModel& operator=(const DisseminationModel&) = delete;

  /// Publishes a version on the platform.
  void Publish(const Deployment& deployment);
  /// Runs until every process has the published version in force. Returns the
  /// simulated time that this took, or nothing if it exceeded `limit`.
  std::optional<nanoseconds> RunUntilConverged(nanoseconds limit);
  /// Advances the simulated clock by `duration`.
  void RunFor(nanoseconds duration) {
    queue_.RunUntil(queue_.now() + duration);
  }
  /// Replaces every process with a new instance without a version.
  void RestartAll();
  /// While the platform is down, it refuses new reads and ends pending watches.
  void SetPlatformUp(bool up) { platform_up_ = up; }

  DisseminationModelCounts counts() const { return counts_; }
  /// Returns the number of processes.
  std::size_t size() const { return servers_.size(); }
  /// Returns the size in bytes of the manifest and chunks that the first
  /// process stores.
  std::size_t stored_bytes() const;

 private:
  struct Process;

  void StartProcess(std::size_t index);
  void Tick(std::size_t index, std::uint64_t instance);
  void PerformActions(Process* process);
  void Perform(Process* process, const ConfigDisseminatorAction& action);
  void SendMessage(Process* from, const SendToPeer& send);
  /// Responds to a watch when the version changes or the wait ends.
  void CompleteWatch(std::size_t index, std::uint64_t instance,
                     std::uint64_t after, Instant began, Instant end);
  void CompleteChunkRead(std::size_t index, std::uint64_t instance,
                         const std::string& digest);
  /// Counts a platform read. Returns false if the platform refuses it.
  bool AdmitPlatformRead();
  /// Returns the process at `index`, or nullptr if it is no longer the instance
  /// with this number.
  Process* FindInstance(std::size_t index, std::uint64_t instance);

  const DisseminationModelOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<Server> servers_;
  std::vector<std::string> failure_domains_;
  std::unordered_map<std::string, std::size_t> index_by_address_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::uint64_t last_instance_ = 0;
  Release release_;
  std::uint64_t revision_ = 0;
  std::uint64_t published_number_ = 0;
  Instant published_at_;
  bool platform_up_ = true;
  DisseminationModelCounts counts_;
  std::int64_t current_second_ = 0;
  std::uint64_t reads_this_second_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_DISSEMINATION_MODEL_H_
