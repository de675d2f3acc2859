#include "backend.h"

namespace wisteriarill::review {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusMisdirected = 421;
constexpr const char* kIdField = "Wisteriarill-Attempt-Id";
constexpr const char* kExpectedField = "Wisteriarill-Expect-Instance";
constexpr const char* kInstanceField = "Wisteriarill-Instance-Id";
constexpr const char* kSignatureField = "Wisteriarill-Response-Sig";
constexpr const char* kNotRunField = "Wisteriarill-Not-Run";

}  // namespace

Task<void> Backend::Handle(ServerExchange* exchange) {
  const HttpRequest request = exchange->request();
  HttpFields fields = {{kInstanceField, instance_}};
  if (request.target == "/health") {
    co_return co_await exchange->SendResponse(kStatusOk, std::move(fields), "");
  }
  const std::string* id = FindField(request.fields, kIdField);
  if (id == nullptr) {
    fields.push_back({kNotRunField, "1"});
    co_return co_await exchange->SendResponse(kStatusBadRequest,
                                              std::move(fields), "");
  }
  fields.push_back({kIdField, *id});
  const std::string* expected = FindField(request.fields, kExpectedField);
  if (expected != nullptr && *expected != instance_) {
    fields.push_back({kNotRunField, "1"});
    co_return co_await exchange->SendResponse(kStatusMisdirected,
                                              std::move(fields), "");
  }
  journal_->OnRun(*id, instance_);
  co_await SleepFor(work_time_);
  fields.push_back({kSignatureField, instance_ + "." + *id});
  co_await exchange->SendResponse(kStatusOk, std::move(fields), "done\n");
}

}  // namespace wisteriarill::review
