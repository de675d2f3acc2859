#include "caller_handler.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <istream>
#include <utility>

#include "wisteriarill/connection/http_fields.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Longer request bodies are streamed after the call has started.
constexpr std::size_t kMaxInlineBodyBytes = 16U << 10;
constexpr std::size_t kReadBufferBytes = 32U << 10;
// Maximum depth of nested calls.
constexpr std::uint8_t kMaxCallDepth = 8;
constexpr std::int64_t kMaxDeadlineMillis = 3'600'000;
constexpr std::string_view kBearerPrefix = "bearer ";

std::string HostWithoutPort(const HTTPServerRequest& request) {
  const std::string host = request.get("Host", "");
  return Poco::toLower(host.substr(0, host.find(':')));
}

// Sets `path` to the path that routes are matched with: decoded, without query
// and dot segments. Returns false if `uri` is malformed.
bool NormalizePath(const std::string& uri, std::string* path) {
  try {
    Poco::URI parsed(uri);
    parsed.normalize();
    *path = parsed.getPath();
    return !path->empty() && path->front() == '/' &&
           path->find('\0') == std::string::npos;
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

void CallerHandler::Handle(HTTPServerRequest& request,
                           HTTPServerResponse& response) {
  request_ = &request;
  response_ = &response;
  started_at_ = BootClock::now();
  ++context_->active_requests;
  context_->last_request_at = started_at_;
  try {
    ServeRequest();
  } catch (const std::exception& error) {
    // The caller disconnected, or sent malformed HTTP.
    context_->metrics->Add("caller_exchanges_broken");
    LogEvent(LogLevel::kDebug, "caller_exchange_broken")
        .With("message", error.what());
    ResetConnection();
  }
  --context_->active_requests;
}

void CallerHandler::ServeRequest() {
  IngressResult result;
  result.id = context_->NextId();
  id_ = result.id;
  const ConfigView view = context_->config->view();
  IngressRequest ingress;
  if (!view.ready) {
    result.refusal = Refusal::kNotReady;
  } else {
    result.refusal = Authorize(*view.snapshot, &ingress);
  }
  if (result.refusal == Refusal::kNone) {
    result.refusal = ReadInitialBody(&ingress);
  }
  if (result.refusal != Refusal::kNone) {
    Finish(result);
    return;
  }
  IngressCall call(std::move(ingress), context_->hub, context_->admission,
                   [this] { return id_ = context_->NextId(); });
  CallerExchange exchange;
  exchange.read_body = [this] { return ReadBodyPiece(); };
  exchange.on_response_start = [this](const ResponseStart& start) {
    return StartResponse(start, start.id);
  };
  exchange.on_response_body = [this](std::string_view bytes) {
    return WriteResponseBody(bytes);
  };
  Finish(call.Run(exchange));
}

Refusal CallerHandler::Authorize(const Snapshot& snapshot,
                                 IngressRequest* ingress) {
  std::string path;
  if (!NormalizePath(request_->getURI(), &path)) return Refusal::kBadRequest;
  const Route* route = snapshot.FindRoute(HostWithoutPort(*request_), path,
                                          request_->getMethod());
  if (route == nullptr) return Refusal::kNoRoute;
  ingress->version = snapshot.version();
  ingress->service = snapshot.service(route->service).name;
  ingress->call_class = route->call_class;
  ingress->idempotent = route->IsIdempotent(request_->getMethod());
  ingress->method = request_->getMethod();
  ingress->uri = request_->getURI();
  ingress->headers = EndToEndHeaders(*request_);
  Refusal refusal = ReadDeadline(route->timeout, ingress);
  if (refusal != Refusal::kNone) return refusal;
  const std::string parent = request_->get(kParentHeader, "");
  refusal = parent.empty() ? AuthorizeKey(snapshot, *route, ingress)
                           : AuthorizeNested(snapshot, *route, parent, ingress);
  workspace_ = ingress->workspace;
  call_class_ = ingress->call_class;
  return refusal;
}

Refusal CallerHandler::AuthorizeKey(const Snapshot& snapshot,
                                    const Route& route,
                                    IngressRequest* ingress) const {
  if (route.open) return Refusal::kNone;
  const std::string header = request_->get("Authorization", "");
  const bool bearer = header.size() > kBearerPrefix.size() &&
                      Poco::icompare(header.substr(0, kBearerPrefix.size()),
                                     std::string(kBearerPrefix)) == 0;
  if (!bearer) return Refusal::kUnknownKey;
  const auto workspace = snapshot.FindWorkspaceByKey(
      Sha256(std::string_view(header).substr(kBearerPrefix.size())));
  if (!workspace.has_value()) return Refusal::kUnknownKey;
  if (!route.Allows(*workspace)) return Refusal::kWrongWorkspace;
  ingress->workspace = snapshot.workspace(*workspace).name;
  return Refusal::kNone;
}

// Authorizes a nested call by its parent call, which must currently run at this
// node's backend server. The nested call takes its workspace from the parent,
// is one level deeper, has class internal, and cannot outlive the parent's
// deadline.
Refusal CallerHandler::AuthorizeNested(const Snapshot& snapshot,
                                       const Route& route,
                                       const std::string& parent,
                                       IngressRequest* ingress) {
  RequestId id;
  const std::string& backend = context_->settings->backend;
  const bool from_backend = request_->clientAddress().host().toString() ==
                            backend.substr(0, backend.rfind(':'));
  if (!from_backend || !ParseRequestId(parent, &id)) {
    return Refusal::kUnknownKey;
  }
  const auto running = context_->backend->FindRunning(id);
  if (!running.has_value()) return Refusal::kUnknownKey;
  if (running->depth >= kMaxCallDepth) return Refusal::kBadRequest;
  const auto workspace = snapshot.FindWorkspace(running->workspace);
  const bool allowed =
      route.open || (workspace.has_value() && route.Allows(*workspace));
  if (!allowed) return Refusal::kWrongWorkspace;
  ingress->workspace = running->workspace;
  ingress->depth = static_cast<std::uint8_t>(running->depth + 1);
  ingress->call_class = CallClass::kInternal;
  ingress->deadline = std::min(ingress->deadline, running->deadline);
  return Refusal::kNone;
}

Refusal CallerHandler::ReadDeadline(milliseconds timeout,
                                    IngressRequest* ingress) const {
  ingress->deadline = started_at_ + timeout;
  if (!request_->has(kDeadlineHeader)) return Refusal::kNone;
  Poco::Int64 millis = 0;
  const bool valid =
      Poco::NumberParser::tryParse64(request_->get(kDeadlineHeader), millis);
  if (!valid || millis < 1 || millis > kMaxDeadlineMillis) {
    return Refusal::kBadRequest;
  }
  ingress->deadline =
      std::min(ingress->deadline, started_at_ + milliseconds(millis));
  return Refusal::kNone;
}

// Reads a short request body completely, or the beginning of a long one.
Refusal CallerHandler::ReadInitialBody(IngressRequest* ingress) {
  const bool chunked = request_->getChunkedTransferEncoding();
  const bool has_length = request_->hasContentLength();
  body_remaining_ = chunked      ? -1
                    : has_length ? request_->getContentLength64()
                                 : 0;
  if (!chunked && has_length && body_remaining_ < 0)
    return Refusal::kBadRequest;
  ingress->body_length = body_remaining_;
  body_ended_ = body_remaining_ == 0;
  while (!body_ended_ && ingress->initial_body.size() < kMaxInlineBodyBytes) {
    std::optional<std::string> piece = ReadBodyPiece();
    if (!piece.has_value()) return Refusal::kBadRequest;
    ingress->initial_body += *piece;
  }
  ingress->body_complete = body_ended_;
  if (body_ended_) {
    ingress->body_length =
        static_cast<std::int64_t>(ingress->initial_body.size());
  }
  return Refusal::kNone;
}

std::optional<std::string> CallerHandler::ReadBodyPiece() {
  if (body_ended_) return std::string();
  std::array<char, kReadBufferBytes> buffer;
  std::size_t wanted = buffer.size();
  if (body_remaining_ >= 0) {
    wanted = std::min(wanted, static_cast<std::size_t>(body_remaining_));
  }
  std::istream& in = request_->stream();
  in.read(buffer.data(), static_cast<std::streamsize>(wanted));
  const auto count = static_cast<std::size_t>(in.gcount());
  if (body_remaining_ >= 0) {
    if (count < wanted) return std::nullopt;  // The caller disconnected.
    body_remaining_ -= static_cast<std::int64_t>(count);
    body_ended_ = body_remaining_ == 0;
  } else {
    body_ended_ = in.eof();
    // Poco reports a disconnect of the caller as the end of a chunked body, so
    // check whether the connection is closed.
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl*>(request_)->socket();
    const bool closed = body_ended_ &&
                        socket.poll(0, Poco::Net::Socket::SELECT_READ) &&
                        socket.available() == 0;
    if (closed) return std::nullopt;
  }
  return std::string(buffer.data(), count);
}

void CallerHandler::SetCommonHeaders(const RequestId& id, Outcome outcome) {
  response_->set(kOutcomeHeader, std::string(ToString(outcome)));
  response_->set(kRequestIdHeader, ToString(id));
  if (context_->leaving.load() || !body_ended_) {
    response_->setKeepAlive(false);
  }
}

bool CallerHandler::StartResponse(const ResponseStart& start,
                                  const RequestId& id) {
  response_->setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(start.status));
  response_->setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(response_->getStatus()));
  for (const HeaderField& field : start.headers) {
    response_->add(field.name, field.value);
  }
  SetCommonHeaders(id, Outcome::kDone);
  const bool may_have_body =
      start.status >= 200 && start.status != 204 && start.status != 304;
  // Only responses to HEAD and 304 have a length without a body.
  const bool may_have_length = may_have_body || start.status == 304;
  if (start.body_length >= 0 && may_have_length) {
    response_->setContentLength64(start.body_length);
  } else if (may_have_body && request_->getMethod() != "HEAD") {
    response_->setChunkedTransferEncoding(true);
  }
  body_stream_ = &response_->send();
  return body_stream_->good();
}

bool CallerHandler::WriteResponseBody(std::string_view bytes) {
  body_stream_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  return body_stream_->good();
}

void CallerHandler::Finish(const IngressResult& result) {
  RecordMetrics(result);
  if (!result.response_started) {
    SendProblem(result);
    return;
  }
  if (result.response_complete) {
    body_stream_->flush();
    return;
  }
  // Reset the connection, because the caller would otherwise take a truncated
  // response for a complete one.
  context_->metrics->Add("answers_cut");
  ResetConnection();
}

void CallerHandler::SendProblem(const IngressResult& result) {
  const Problem problem = ProblemFor(result.refusal, result.outcome);
  response_->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(problem.status));
  SetCommonHeaders(result.id, result.outcome);
  if (result.refusal == Refusal::kOverRate) {
    const auto wait = std::chrono::ceil<seconds>(result.retry_after);
    response_->set("Retry-After",
                   std::to_string(std::max<std::int64_t>(1, wait.count())));
  }
  if (result.refusal == Refusal::kUnknownKey) {
    response_->set("WWW-Authenticate", "Bearer");
  }
  response_->setContentType("application/problem+json");
  const std::string document = ProblemDocument(problem, ToString(result.id));
  response_->setContentLength64(static_cast<Poco::Int64>(document.size()));
  std::ostream& out = response_->send();
  if (request_->getMethod() != "HEAD") out << document;
  out.flush();
}

void CallerHandler::ResetConnection() {
  response_->setKeepAlive(false);
  try {
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl*>(request_)->socket();
    socket.setLinger(true, 0);
    socket.shutdown();
  } catch (const Poco::Exception&) {
    return;  // The socket is already closed.
  }
}

void CallerHandler::RecordMetrics(const IngressResult& result) const {
  const bool done =
      result.outcome == Outcome::kDone && result.response_complete;
  context_->metrics->RecordCall({workspace_, call_class_,
                                 done ? Outcome::kDone : result.outcome,
                                 result.refusal,
                                 std::chrono::duration_cast<microseconds>(
                                     BootClock::now() - started_at_)});
}

}  // namespace wisteriarill
