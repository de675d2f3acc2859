/// \file
/// The trials. Each returns whether its rule held.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_TRIALS_H_
#define WISTERIARILL_REVIEW_STANDIN_2_TRIALS_H_

#include "mesh.h"

namespace wisteriarill::review {

/// Idle connections between nodes go silent, and later a key is withdrawn.
bool RunSilentConnections(Mesh* mesh, Record* record, bool trouble);
/// A node restarts just after a key was withdrawn, while stale reads lag.
bool RunStalePages(Mesh* mesh, Record* record, bool trouble);
/// Servers truncate some of their answers and keep the connections open.
bool RunStalledAnswer(Mesh* mesh, Record* record, bool trouble);
/// A configuration drops a service whose VMs still have callers.
bool RunServiceRemoved(Mesh* mesh, Record* record, bool trouble);
/// A zone is evacuated while callers send long heads.
bool RunLongHead(Mesh* mesh, Record* record, bool trouble);
/// A new route covers a path that nodes use among themselves.
bool RunPeerPath(Mesh* mesh, Record* record, bool trouble);

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_TRIALS_H_
