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

constexpr std::size_t kInlineBody = 16U << 10;
constexpr std::size_t kReadSize = 32U << 10;
constexpr std::uint8_t kMostDepth = 8;
constexpr std::int64_t kMostDeadlineMillis = 3'600'000;
constexpr std::string_view kBearer = "bearer ";

std::string HostWithoutPort(const HTTPServerRequest& request) {
  const std::string host = request.get("Host", "");
  return Poco::toLower(host.substr(0, host.find(':')));
}

// The path as routes match it: decoded, without query and dot segments.
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
  began_ = BootClock::now();
  ++context_->active;
  context_->last_request = began_;
  try {
    Serve();
  } catch (const std::exception& error) {
    // The caller went away, or sent what HTTP does not allow.
    context_->metrics->Add("caller_exchanges_broken");
    LogEvent(LogLevel::kDebug, "caller_exchange_broken")
        .With("message", error.what());
    CutConnection();
  }
  --context_->active;
}

void CallerHandler::Serve() {
  IngressEnd refused;
  refused.id = context_->NextId();
  id_ = refused.id;
  const ConfigView view = context_->config->view();
  IngressRequest ingress;
  if (!view.ready) {
    refused.refusal = Refusal::kNotReady;
  } else {
    refused.refusal = Authorize(*view.snapshot, &ingress);
  }
  if (refused.refusal == Refusal::kNone) {
    refused.refusal = ReadBodyBegin(&ingress);
  }
  if (refused.refusal != Refusal::kNone) {
    Finish(refused);
    return;
  }
  IngressCall call(std::move(ingress), context_->hub, context_->admission,
                   [this] { return id_ = context_->NextId(); });
  CallerExchange exchange;
  exchange.read_body = [this] { return ReadBody(); };
  exchange.on_start = [this](const AnswerStart& start) {
    return StartAnswer(start, start.id);
  };
  exchange.on_body = [this](std::string_view bytes) {
    return WriteAnswer(bytes);
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
  const bool bearer = header.size() > kBearer.size() &&
                      Poco::icompare(header.substr(0, kBearer.size()),
                                     std::string(kBearer)) == 0;
  if (!bearer) return Refusal::kUnknownKey;
  const auto workspace = snapshot.FindWorkspaceByKey(
      Sha256(std::string_view(header).substr(kBearer.size())));
  if (!workspace.has_value()) return Refusal::kUnknownKey;
  if (!route.Allows(*workspace)) return Refusal::kWrongWorkspace;
  ingress->workspace = snapshot.workspace(*workspace).name;
  return Refusal::kNone;
}

// A nested call takes workspace, class, depth and deadline from its parent,
// which this node's backend server must be running now.
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
  if (running->depth >= kMostDepth) return Refusal::kBadRequest;
  const auto workspace = snapshot.FindWorkspace(running->workspace);
  const bool allowed =
      route.open || (workspace.has_value() && route.Allows(*workspace));
  if (!allowed) return Refusal::kWrongWorkspace;
  ingress->workspace = running->workspace;
  ingress->charged = false;
  ingress->depth = static_cast<std::uint8_t>(running->depth + 1);
  ingress->call_class = CallClass::kInternal;
  ingress->deadline = std::min(ingress->deadline, running->deadline);
  return Refusal::kNone;
}

Refusal CallerHandler::ReadDeadline(milliseconds timeout,
                                    IngressRequest* ingress) const {
  ingress->deadline = began_ + timeout;
  if (!request_->has(kDeadlineHeader)) return Refusal::kNone;
  Poco::Int64 millis = 0;
  const bool valid =
      Poco::NumberParser::tryParse64(request_->get(kDeadlineHeader), millis);
  if (!valid || millis < 1 || millis > kMostDeadlineMillis) {
    return Refusal::kBadRequest;
  }
  ingress->deadline =
      std::min(ingress->deadline, began_ + milliseconds(millis));
  return Refusal::kNone;
}

// Reads a short body whole, or the beginning of a long one.
Refusal CallerHandler::ReadBodyBegin(IngressRequest* ingress) {
  const bool chunked = request_->getChunkedTransferEncoding();
  const bool has_length = request_->hasContentLength();
  body_left_ = chunked ? -1 : has_length ? request_->getContentLength64() : 0;
  if (!chunked && has_length && body_left_ < 0) return Refusal::kBadRequest;
  ingress->body_length = body_left_;
  body_ended_ = body_left_ == 0;
  while (!body_ended_ && ingress->body_begin.size() < kInlineBody) {
    std::optional<std::string> piece = ReadBody();
    if (!piece.has_value()) return Refusal::kBadRequest;
    ingress->body_begin += *piece;
  }
  ingress->body_whole = body_ended_;
  if (body_ended_) {
    ingress->body_length =
        static_cast<std::int64_t>(ingress->body_begin.size());
  }
  return Refusal::kNone;
}

std::optional<std::string> CallerHandler::ReadBody() {
  if (body_ended_) return std::string();
  std::array<char, kReadSize> buffer;
  std::size_t wanted = buffer.size();
  if (body_left_ >= 0) {
    wanted = std::min(wanted, static_cast<std::size_t>(body_left_));
  }
  std::istream& in = request_->stream();
  in.read(buffer.data(), static_cast<std::streamsize>(wanted));
  const auto count = static_cast<std::size_t>(in.gcount());
  if (body_left_ >= 0) {
    if (count < wanted) return std::nullopt;  // The caller broke off.
    body_left_ -= static_cast<std::int64_t>(count);
    body_ended_ = body_left_ == 0;
  } else {
    body_ended_ = in.eof();
    // Poco takes a caller that breaks off for the end of a chunked body.
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl*>(request_)->socket();
    const bool closed = body_ended_ &&
                        socket.poll(0, Poco::Net::Socket::SELECT_READ) &&
                        socket.available() == 0;
    if (closed) return std::nullopt;
  }
  return std::string(buffer.data(), count);
}

void CallerHandler::PrepareResponse(const RequestId& id, Outcome outcome) {
  response_->set(kOutcomeHeader, std::string(ToString(outcome)));
  response_->set(kRequestIdHeader, ToString(id));
  if (context_->leaving.load() || !body_ended_) {
    response_->setKeepAlive(false);
  }
}

bool CallerHandler::StartAnswer(const AnswerStart& start, const RequestId& id) {
  response_->setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(start.status));
  response_->setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(response_->getStatus()));
  for (const HeaderField& field : start.headers) {
    response_->add(field.name, field.value);
  }
  PrepareResponse(id, Outcome::kDone);
  const bool may_have_body =
      start.status >= 200 && start.status != 204 && start.status != 304;
  // A length without a body is only for HEAD and 304.
  const bool may_have_length = may_have_body || start.status == 304;
  if (start.body_length >= 0 && may_have_length) {
    response_->setContentLength64(start.body_length);
  } else if (may_have_body && request_->getMethod() != "HEAD") {
    response_->setChunkedTransferEncoding(true);
  }
  out_ = &response_->send();
  return out_->good();
}

bool CallerHandler::WriteAnswer(std::string_view bytes) {
  out_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  return out_->good();
}

void CallerHandler::Finish(const IngressEnd& end) {
  Record(end);
  if (!end.started) {
    SendProblem(end);
    return;
  }
  if (end.whole) {
    out_->flush();
    return;
  }
  // Never end a cut answer as if it were whole.
  context_->metrics->Add("answers_cut");
  CutConnection();
}

void CallerHandler::SendProblem(const IngressEnd& end) {
  const Problem problem = ProblemFor(end.refusal, end.outcome);
  response_->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(problem.status));
  PrepareResponse(end.id, end.outcome);
  if (end.refusal == Refusal::kOverRate) {
    const auto wait = std::chrono::ceil<seconds>(end.retry_after);
    response_->set("Retry-After",
                   std::to_string(std::max<std::int64_t>(1, wait.count())));
  }
  if (end.refusal == Refusal::kUnknownKey) {
    response_->set("WWW-Authenticate", "Bearer");
  }
  response_->setContentType("application/problem+json");
  const std::string document = ProblemDocument(problem, ToString(end.id));
  response_->setContentLength64(static_cast<Poco::Int64>(document.size()));
  std::ostream& out = response_->send();
  if (request_->getMethod() != "HEAD") out << document;
  out.flush();
}

void CallerHandler::CutConnection() {
  response_->setKeepAlive(false);
  try {
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl*>(request_)->socket();
    socket.setLinger(true, 0);
    socket.shutdown();
  } catch (const Poco::Exception&) {
    return;  // It is closed already.
  }
}

void CallerHandler::Record(const IngressEnd& end) const {
  const bool done = end.outcome == Outcome::kDone && end.whole;
  context_->metrics->RecordCall(
      {workspace_, call_class_, done ? Outcome::kDone : end.outcome,
       end.refusal,
       std::chrono::duration_cast<microseconds>(BootClock::now() - began_)});
}

}  // namespace wisteriarill
