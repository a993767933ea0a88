#ifndef REVIEW_STANDIN_CLIENT_H_
#define REVIEW_STANDIN_CLIENT_H_

#include <atomic>
#include <memory>
#include <string>

#include "net.h"

namespace review {

/// What one client attempt asks for.
struct Attempt {
  std::string id;
  std::string method = "POST";
  std::string host;
  std::string path;
  int deadline_ms = 2000;
  /// Further header lines, each with its line ending.
  std::string headers;
  std::string body;
};

/// How a client attempt ended.
struct Outcome {
  Response response;
  /// Whether an earlier request was answered on the same connection.
  bool on_kept_connection = false;
  /// Whether the whole request was written to the connection.
  bool was_sent = false;
};

/// A client that keeps its connection for many requests.
class Client {
 public:
  explicit Client(Record& record) : record(record) {}

  /// Sends an attempt to a gateway and waits for its answer.
  Outcome Send(const Address& gateway, const Attempt& attempt);
  void CloseConnection() { this->connection.reset(); }

 private:
  Record& record;
  std::unique_ptr<Connection> connection;
  Address connected_to;
  bool has_answered = false;
};

/// Returns an id that no other attempt has.
[[nodiscard]] std::string NewId();

}  // namespace review

#endif  // REVIEW_STANDIN_CLIENT_H_
