/// \file
/// Decides from which peers a node reads the changes that it lacks. The failure
/// it answers is a peer that is heard and doesn't answer, because nothing
/// passes that way, its connections are silent, or it stands still: it must not
/// keep the node from reading elsewhere.
#ifndef WISTERIARILL_REGISTRY_PEER_READ_SELECTOR_H_
#define WISTERIARILL_REGISTRY_PEER_READ_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/store_position.h"

namespace wisteriarill {

/// How a read of a peer's changes ended.
enum class PeerReadEnd {
  kDone,    ///< The changes were read.
  kBusy,    ///< The peer serves other reads.
  kFailed,  ///< Nothing, or nothing usable, was read.
};

/// Knows which peers are ahead of this node and which of them it reads from.
/// Peers of its own failure domain and those of others are kept apart, so that
/// reads that hang on one side don't take the room of the other. Does no I/O,
/// reads no clock, and is used from one thread.
class PeerReadSelector {
 public:
  /// A read that brought nothing for this long doesn't hold up another.
  static constexpr milliseconds kStallTime{150};
  /// Time for which a peer isn't read from after a failed read.
  static constexpr milliseconds kSetAsideTime{1000};
  /// The same for a peer that is busy.
  static constexpr milliseconds kBusyTime{15};
  /// Maximum random delay before changes are read from another failure domain.
  /// One node of a domain usually reads them first, and the others read them
  /// from that node.
  static constexpr milliseconds kMaxCrossDomainDelay{100};
  /// Maximum number of reads at a time on each side.
  static constexpr std::size_t kMaxReadsPerSide = 2;

  using IsReachable = std::function<bool(const std::string& ip)>;
  /// Says whether a peer with this digest carries something from an earlier era
  /// that this node doesn't (EraCarryover::LacksDigest).
  using LacksCarried = std::function<bool(std::uint32_t digest)>;

  explicit PeerReadSelector(std::uint64_t seed) : random_(seed) {}

  /// Records that the peer `ip` holds all changes up to `position`, and carries
  /// what has the digest `lacked`, which this node doesn't; 0: nothing.
  void OnPeerPosition(const std::string& ip, StorePosition position,
                      std::uint32_t lacked, bool same_domain, Instant now);
  /// Records that this node holds `position`.
  void OnHeld(StorePosition position, const LacksCarried& lacks_carried);
  /// Returns whether a peer is ahead of this node.
  bool IsBehind() const { return !ahead_.empty(); }
  /// Returns whether the peer `ip` is ahead of this node.
  bool IsAhead(const std::string& ip) const { return ahead_.contains(ip); }
  /// Returns since when this node has been behind.
  Instant behind_since() const { return behind_since_; }

  /// Returns a peer to read from and records that the read has started; nothing
  /// if there is none, or if a read that is under way may still bring the
  /// changes.
  std::optional<std::string> StartRead(Instant now,
                                       const IsReachable& is_reachable);
  /// Records that a part of the response of `ip` was read.
  void OnProgress(const std::string& ip, Instant now);
  void OnReadEnded(const std::string& ip, PeerReadEnd end, Instant now);

 private:
  struct AheadPeer {
    StorePosition position;
    std::uint32_t lacked = 0;
    bool same_domain = false;
  };
  struct Read {
    bool same_domain = false;
    Instant last_progress = kNever;
  };

  /// Returns whether a read that is under way may still bring the changes.
  bool IsAnyReadActive(Instant now) const;
  /// Returns whether another read may start on a side.
  bool HasRoom(bool same_domain) const;
  std::optional<std::string> ChoosePeer(bool same_domain, Instant now,
                                        const IsReachable& is_reachable);

  std::mt19937_64 random_;
  std::map<std::string, AheadPeer> ahead_;    ///< By address.
  std::map<std::string, Read> reads_;         ///< By address.
  std::map<std::string, Instant> set_aside_;  ///< Until then; by address.
  StorePosition held_;
  Instant behind_since_ = kNever;
  milliseconds cross_domain_delay_{0};
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_PEER_READ_SELECTOR_H_
