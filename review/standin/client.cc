#include "client.h"

#include <cstdio>

namespace review {

namespace {

// A client waits a little longer than its time budget.
constexpr milliseconds kMargin{1000};

}  // namespace

std::string NewId() {
  static std::atomic<unsigned> last = 0;
  char text[17];
  std::snprintf(text, sizeof text, "9c41d07b%08x", ++last);
  return text;
}

Outcome Client::Send(const Address& gateway, const Attempt& attempt) {
  if (this->connection != nullptr &&
      (this->connected_to.Text() != gateway.Text() ||
       this->connection->IsClosedByPeer())) {
    this->connection.reset();
  }
  if (this->connection == nullptr) {
    const int file = Connect(gateway);
    if (file < 0) {
      return {};
    }
    this->connection = std::make_unique<Connection>(file);
    this->connected_to = gateway;
    this->has_answered = false;
  }
  Outcome outcome;
  outcome.on_kept_connection = this->has_answered;
  this->connection->SetReadTimeout(milliseconds(attempt.deadline_ms) + kMargin);
  this->record.Line("send " + attempt.id + " " + attempt.path +
                    (outcome.on_kept_connection ? " kept" : " new"));
  outcome.was_sent = this->connection->Write(
      attempt.method + " " + attempt.path + " HTTP/1.1\r\nHost: " +
      attempt.host + "\r\nX-Pimentospar-Request-Id: " + attempt.id +
      "\r\nX-Pimentospar-Deadline-Ms: " + std::to_string(attempt.deadline_ms) +
      "\r\n" + attempt.headers + "Content-Length: " +
      std::to_string(attempt.body.size()) + "\r\n\r\n" + attempt.body);
  outcome.response = this->connection->ReadResponse();
  this->record.Line("answer " + attempt.id + " status " +
                    std::to_string(outcome.response.status) +
                    (outcome.response.complete ? " complete" : " broken") +
                    " bytes " + std::to_string(outcome.response.bytes));
  this->has_answered = true;
  if (!outcome.response.complete ||
      outcome.response.fields.Get("Connection") == "close") {
    this->connection.reset();
  }
  return outcome;
}

}  // namespace review
