#include "backend.h"

#include <thread>
#include <utility>

namespace wisteriarill::review {
namespace {

constexpr milliseconds kIdleTimeout{60000};
constexpr const char* kLoad = "1,0,12";
constexpr const char* kHealthPath = "/health";
constexpr const char* kIdField = "Wisteriarill-Attempt-Id";
constexpr const char* kInstanceField = "Wisteriarill-Instance-Id";
constexpr const char* kLoadField = "Wisteriarill-Server-Load";
constexpr const char* kNotRunField = "Wisteriarill-Not-Run";
constexpr const char* kSignatureField = "Wisteriarill-Response-Sig";

}  // namespace

void Backend::Serve(const Address& address) {
  ServeForever(address,
               [this](Socket socket) { ServeConnection(std::move(socket)); });
}

std::optional<Run> Backend::FindRun(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(id);
  if (found == runs_.end()) return std::nullopt;
  return found->second;
}

std::vector<Run> Backend::Runs() {
  const std::lock_guard lock(mutex_);
  std::vector<Run> runs;
  for (const auto& [id, run] : runs_) runs.push_back(run);
  return runs;
}

void Backend::ServeConnection(Socket socket) {
  MessageReader requests(socket.handle());
  for (;;) {
    const auto request = requests.Read(Clock::now() + kIdleTimeout);
    if (!request || !request->complete) return;
    if (!Handle(socket.handle(), *request)) return;
  }
}

bool Backend::Handle(int handle, const Message& request) {
  if (request.Target() == kHealthPath) return RespondHealth(handle);
  const std::string expected = request.Field("Wisteriarill-Expect-Instance");
  if (!expected.empty() && expected != instance_) {
    return SendAll(handle,
                   SerializeResponse(421,
                                     {{kInstanceField, instance_},
                                      {kIdField, request.Field(kIdField)},
                                      {kNotRunField, "1"}},
                                     ""));
  }
  return RunRequest(handle, request);
}

bool Backend::RespondHealth(int handle) {
  return SendAll(
      handle, SerializeResponse(
                  200, {{kInstanceField, instance_}, {kLoadField, kLoad}}, ""));
}

bool Backend::RunRequest(int handle, const Message& request) {
  const std::string id = request.Field(kIdField);
  const Run run{instance_, request.Field("Wisteriarill-Tenant"),
                request.Target(), Clock::now()};
  record_->Write("run: " + id + " " + request.Method() + " " + run.target +
                 " at " + instance_ + " tenant \"" + run.workspace + "\"");
  {
    const std::lock_guard lock(mutex_);
    runs_[id] = run;
  }
  if (ClosedWithin(handle, behavior_.work)) return false;
  const std::string response =
      SerializeResponse(200,
                        {{kIdField, id},
                         {kSignatureField, instance_ + "." + id},
                         {kLoadField, kLoad}},
                        std::string(behavior_.response_bytes, 'x'));
  if (truncating_ && ++responses_ % behavior_.truncated_every == 0) {
    record_->Write("truncated: " + id);
    return SendAll(handle, response.substr(0, response.size() / 2));
  }
  return SendAll(handle, response);
}

}  // namespace wisteriarill::review
