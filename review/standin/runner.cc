#include "runner.h"

#include <sys/socket.h>

#include <thread>

namespace review {

namespace {

constexpr milliseconds kHeartbeat{1200};
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

std::string Models(const RunnerOptions& options) {
  return options.model.empty() ? ""
                               : "{\"name\":\"" + options.model +
                                     "\",\"version\":1,\"adapters\":[]}";
}

}  // namespace

std::string Registration(const RunnerOptions& options,
                         const Address& address,
                         const std::string& state) {
  return "{\"service\":\"" + options.service + "\",\"addr\":\"" +
         address.Text() + "\",\"zone\":\"" + options.zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(options.slots) +
         ",\"state\":\"" + state +
         "\",\"cold_left_ms\":0,\"born\":" + std::to_string(options.born) +
         ",\"models\":[" + Models(options) + "],\"seq\":1}";
}

std::string AnswerHead(const Request& request,
                       int status,
                       const std::string& framing) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Pimentospar-Request-Id: " +
         request.fields.Get("X-Pimentospar-Request-Id") +
         "\r\nX-Pimentospar-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
         framing + "\r\n";
}

std::string Answer(const Request& request,
                   int status,
                   const std::string& body) {
  return AnswerHead(request, status,
                    "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

std::string Chunk(const std::string& data) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string size;
  for (std::size_t left = data.size(); left > 0 || size.empty(); left /= 16) {
    size.insert(size.begin(), kHex[left % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(40, 'x') +
         "\n\n";
}

Runner::Runner(Store* store,
               Record& record,
               RunnerOptions options,
               Handler handler)
    : store(store),
      record(record),
      options(std::move(options)),
      handler(std::move(handler)),
      address{this->options.ip, this->options.port} {
  const int listener = Listen(this->address);
  std::thread([this, listener] { this->Accept(listener); }).detach();
}

void Runner::Accept(int listener) {
  while (true) {
    const int file = accept(listener, nullptr, nullptr);
    std::thread([this, file] { this->Serve(file); }).detach();
  }
}

void Runner::Start() {
  this->Beat();
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      this->Beat();
    }
  }).detach();
}

void Runner::Beat() {
  if (!this->ended) {
    this->Register(this->leaving ? "draining" : "ready");
  }
}

void Runner::Leave() {
  this->leaving = true;
  this->Beat();
}

void Runner::End() {
  this->ended = true;
  this->Unregister();
  const std::lock_guard lock(this->mutex);
  for (const Connection* connection : this->connections) {
    connection->Shutdown();
  }
}

void Runner::StartAgain() {
  this->options.born = UnixMs();
  this->leaving = false;
  this->ended = false;
  this->Beat();
}

void Runner::Register(const std::string& state) {
  this->store->SetKey("keyed.servers", this->options.id,
                      Registration(this->options, this->address, state));
}

void Runner::Unregister() {
  this->store->SetKey("keyed.servers", this->options.id, "");
}

std::string Runner::Report() const {
  return "{\"stage\":\"both\",\"models\":[" + Models(this->options) +
         "],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,"
         "\"kv_used\":0,\"kv_total\":232000,\"handles\":0,\"born\":" +
         std::to_string(this->options.born) + "}";
}

void Runner::Serve(int file) {
  Connection connection(file);
  {
    const std::lock_guard lock(this->mutex);
    this->connections.insert(&connection);
  }
  while (!this->ended) {
    const auto request = connection.ReadRequest();
    if (!request || this->ended || !this->ServeRequest(*request, connection)) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->connections.erase(&connection);
}

bool Runner::ServeRequest(const Request& request, Connection& connection) {
  const std::string expected =
      request.fields.Get("X-Pimentospar-Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    return connection.Write("HTTP/1.1 " + std::to_string(kMisdirected) +
                            " X\r\nX-Pimentospar-Instance: " +
                            this->options.id + "\r\nContent-Length: 0\r\n\r\n");
  }
  if (request.target == "/api/report") {
    return connection.Write(Answer(request, kOk, this->Report()));
  }
  if (request.target == "/api/order") {
    return connection.Write(Answer(request, kConflict, "{}"));
  }
  this->record.Line("run " + request.fields.Get("X-Pimentospar-Request-Id") +
                    " at " + this->options.id);
  return this->handler(request, connection);
}

}  // namespace review
