/// \file
/// What the backend servers of other VMs have said of themselves in responses
/// that this node relayed. Answers the loss of the node beside such a server,
/// which alone heard of all its responses: the nodes that were told bring it
/// back.
#ifndef WISTERIARILL_ROUTING_BACKEND_STATEMENT_TABLE_H_
#define WISTERIARILL_ROUTING_BACKEND_STATEMENT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wisteriarill/admission/backend_statements.h"

namespace wisteriarill {

/// Holds only the servers that state something. Does no I/O, reads no clock,
/// and is used from one thread.
class BackendStatementTable {
 public:
  /// Records a response of `server`; see BackendStatements::OnResponse.
  void OnResponse(const BackendStart& server, const BackendReport& report,
                  bool own_answer, Instant sent, Instant now);
  /// Returns the limit that `server` named, as it is told to the node beside
  /// it.
  std::optional<ToldRateLimit> TellPeer(const BackendStart& server,
                                        Instant now) const;
  /// Records that the node beside `server` says that it is leaving.
  void OnLeaving(const BackendStart& server, Instant now);
  /// Returns whether `server` is known to be leaving.
  bool IsLeaving(const BackendStart& server) const;
  std::size_t size() const { return servers_.size(); }

 private:
  /// Maximum number of servers; the one recorded longest ago is dropped.
  static constexpr std::size_t kMaxServers = 4096;

  struct Record {
    std::uint64_t start_millis = 0;
    BackendStatements statements;
    Instant recorded = kNever;
  };

  /// Returns the record of exactly this start, or null.
  const Record* Find(const BackendStart& server) const;
  void DropOldest();

  std::map<std::string, Record> servers_;  ///< By instance.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ROUTING_BACKEND_STATEMENT_TABLE_H_
