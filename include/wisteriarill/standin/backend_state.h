/// \file
/// The stand-in for a backend server: slots, a cold start under which it bears
/// less, shedding, and a log of what it ran.
#ifndef WISTERIARILL_STANDIN_BACKEND_STATE_H_
#define WISTERIARILL_STANDIN_BACKEND_STATE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct BackendStateOptions {
  std::uint32_t slots = 12;
  double cold_share = 0.25;  ///< Of the slots that it bears when cold.
  microseconds warmup = seconds(3);
  microseconds work = milliseconds(5);  ///< Usual time of a request.
  double cold_slowdown = 3;             ///< Work takes longer when cold.
};

/// One execution, for checking promises.
struct Execution {
  std::string request_id;
  std::string method;
  std::string workspace;
  std::string load_id;             ///< The caller's own name for the request.
  bool has_authorization = false;  ///< An Authorization field came through.
};

struct BackendStats {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint64_t overloaded = 0;  ///< Came while it bore no more.
  std::uint64_t collapses = 0;   ///< Fell back to cold under overload.
  std::uint32_t in_flight = 0;
  std::uint32_t max_in_flight = 0;
};

/// Thread-safe.
class BackendState {
 public:
  explicit BackendState(BackendStateOptions options);

  /// What a request met on arrival.
  struct StartResult {
    bool admitted = false;
    microseconds work{};  ///< How long it takes.
  };

  /// Takes a request; one that is not admitted was shed and did not run.
  StartResult TryStart(const Execution& execution, microseconds work,
                       Instant now);
  void Finish();
  /// Turns cold, with a new instance name if `announced`.
  void ResetToCold(bool announced, Instant now);
  void SetDraining(bool draining);

  std::string instance() const;
  BackendStats stats() const;
  std::vector<Execution> log() const;
  /// Returns the load as it was up to a second ago: reports lag.
  std::uint32_t lagging_load(Instant now);

 private:
  double Bears(Instant now) const;

  const BackendStateOptions options_;
  mutable std::mutex mutex_;
  Instant cold_since_;
  std::string instance_;
  bool draining_ = false;
  BackendStats stats_;
  std::vector<Execution> log_;
  std::uint32_t reported_ = 0;
  Instant reported_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_BACKEND_STATE_H_
