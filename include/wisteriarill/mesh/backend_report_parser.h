/// \file
/// Reads what a backend server says of itself from the fields of a response.
#ifndef WISTERIARILL_MESH_BACKEND_REPORT_PARSER_H_
#define WISTERIARILL_MESH_BACKEND_REPORT_PARSER_H_

#include "wisteriarill/admission/backend_report.h"
#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_message.h"

namespace wisteriarill {

/// Parses the fields of a response that a server sent. A value that is
/// malformed is left unset; a limit too large to matter counts as none.
BackendReport ParseBackendReport(const HttpFields& fields,
                                 const PlatformFieldNames& field_names);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_BACKEND_REPORT_PARSER_H_
