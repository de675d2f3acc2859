/// \file
/// Many nodes' spread decisions in one process under simulated time, with the
/// real codec and a platform that counts reads.
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
  std::uint64_t seed = 1;
  nanoseconds near_delay = microseconds(300);  ///< One way, same domain.
  nanoseconds far_delay = milliseconds(1);     ///< One way, other domain.
  nanoseconds platform_delay = milliseconds(3);
  std::uint32_t platform_budget = 2000;  ///< Reads a second.
  ConfigDisseminatorOptions
      disseminator;  ///< Names and addresses are filled in.
};

struct DisseminationModelCounts {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t platform_reads = 0;
  std::uint64_t refused_reads = 0;
  std::uint64_t max_reads_per_second = 0;
};

class DisseminationModel {
 public:
  /// Starts one process beside each server of `deployment`, with no version.
  DisseminationModel(DisseminationModelOptions options,
                     const Deployment& deployment);
  ~DisseminationModel();
  DisseminationModel(const DisseminationModel&) = delete;
  DisseminationModel& operator=(const DisseminationModel&) = delete;

  void Publish(const Deployment& deployment);
  /// Runs until every process has the published version; returns how long
  /// that took, nothing if `limit` passed.
  std::optional<nanoseconds> RunUntilConverged(nanoseconds limit);
  void RunFor(nanoseconds length) { queue_.RunUntil(queue_.now() + length); }
  /// Replaces every process by a new one without a version.
  void RestartAll();
  void SetPlatformUp(bool up) { platform_up_ = up; }

  DisseminationModelCounts counts() const { return counts_; }
  std::size_t size() const { return names_.size(); }
  /// Returns the bytes of manifest and chunks that one process holds.
  std::size_t stored_bytes() const;

 private:
  struct Process;

  void StartProcess(std::size_t slot);
  void Tick(std::size_t slot, std::uint64_t life);
  void Flush(Process* process);
  void Perform(Process* process, const ConfigDisseminatorAction& action);
  void SendMessage(Process* from, const SendToPeer& send);
  void AnswerWatch(std::size_t slot, std::uint64_t life, std::uint64_t after,
                   Instant began, Instant end);
  void AnswerChunk(std::size_t slot, std::uint64_t life,
                   const std::string& digest);
  bool CountRead();
  Process* Alive(std::size_t slot, std::uint64_t life);

  const DisseminationModelOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<Server> names_;
  std::vector<std::string> domains_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::uint64_t last_life_ = 0;
  Release release_;
  std::uint64_t revision_ = 0;
  std::uint64_t number_ = 0;
  Instant published_;
  bool platform_up_ = true;
  DisseminationModelCounts counts_;
  std::int64_t second_ = 0;
  std::uint64_t in_second_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_DISSEMINATION_MODEL_H_
