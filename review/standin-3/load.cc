#include "load.h"

#include <algorithm>

namespace wisteriarill::review {

void Load::Start(const Machine* machine, int clients,
                 const CallRequest& request) {
  for (int i = 0; i < clients; ++i) {
    const milliseconds delay = interval_ * i / clients;
    threads_.emplace_back([this, machine, delay, request] {
      RunClient(machine, delay, request);
    });
  }
}

void Load::StartEverywhere(int clients, const CallRequest& request) {
  for (const auto& machine : test_->mesh->machines())
    Start(machine.get(), clients, request);
}

void Load::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) thread.join();
}

void Load::RunClient(const Machine* machine, milliseconds delay,
                     CallRequest request) {
  Caller caller(test_->mesh->Outbound(*machine));
  Instant next = Clock::now() + delay;
  while (!stopped_) {
    std::this_thread::sleep_until(next);
    next = std::max(next + interval_, Clock::now());
    if (!machine->takes_clients) continue;
    request.id = machine->name + "." + std::to_string(++last_id_);
    Keep(caller.Call(request), machine, request.key);
  }
}

void Load::Keep(CallResult result, const Machine* machine,
                const std::string& key) {
  test_->record->AddAt(result.sent_at,
                       "client: " + result.id + " " + key + " answered " +
                           std::to_string(result.status) + " after " +
                           std::to_string(result.duration().count()) + " ms");
  result.answer = {};
  const std::lock_guard lock(mutex_);
  const std::string id = result.id;
  attempts_[id] = {std::move(result), machine, key};
}

}  // namespace wisteriarill::review
