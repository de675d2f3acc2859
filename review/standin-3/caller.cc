#include "caller.h"

#include <sys/socket.h>

#include "documents.h"

namespace wisteriarill::review {
namespace {

bool HasEnded(const Socket& socket) {
  char byte = 0;
  return recv(socket.handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::string Serialize(const CallRequest& request) {
  std::string text = request.method + " " + request.path +
                     " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nWisteriarill-Attempt-Id: " + request.id +
                     "\r\nWisteriarill-Deadline-Ms: " +
                     std::to_string(request.deadline.count()) + "\r\n";
  if (!request.key.empty())
    text += "Authorization: Bearer " + request.key + "\r\n";
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + request.extra_fields + "\r\n" + request.body;
}

}  // namespace

CallResult Caller::Call(const CallRequest& request) {
  CallResult result;
  result.id = request.id;
  if (!socket_.is_open() || HasEnded(socket_)) socket_ = Connect(node_);
  result.sent_at = Clock::now();
  if (socket_.is_open()) {
    socket_.SetReadTimeout(request.deadline);
    HttpReader reader(&socket_);
    std::optional<HttpMessage> answer;
    if (SendAll(socket_, Serialize(request))) answer = reader.Read();
    result.began = answer || reader.has_partial_message();
    if (answer) {
      result.status = answer->Status();
      result.answer = std::move(*answer);
    }
  }
  result.ended_at = Clock::now();
  const bool close = result.answer.Field("Connection") == "close";
  if (result.status == 0 || close) socket_.Close();
  return result;
}

}  // namespace wisteriarill::review
