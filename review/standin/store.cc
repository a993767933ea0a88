#include "store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace review {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

void AppendBigEndian(std::string& to, std::uint64_t number, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    to += static_cast<char>((number >> shift) & 0xff);
  }
}

std::string Base64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const bool present = at + i < bytes.size();
      group = (group << 8) |
              (present ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const std::uint32_t digit = (group >> (18 - 6 * i)) & 63;
      text += at + i <= bytes.size() ? kDigits[digit] : '=';
    }
  }
  return text;
}

// Returns a parameter of the query of a target, without decoding it: the
// topics and keys of these cases need none.
std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return {};
}

std::size_t NumberParameter(const std::string& target,
                            const std::string& name) {
  return std::strtoull(Parameter(target, name).c_str(), nullptr, 10);
}

// The key of a record of a keyed topic.
std::string KeyOf(const std::string& record) {
  return record.substr(1, static_cast<unsigned char>(record.front()));
}

std::string ValueOf(const std::string& record) {
  return record.substr(1 + static_cast<unsigned char>(record.front()));
}

}  // namespace

Store::Store(const std::string& ip) : address{ip, 0} {
  const int listener = Listen(this->address);
  std::thread([this, listener] {
    while (true) {
      const int file = accept(listener, nullptr, nullptr);
      std::thread([this, file] { this->Serve(file); }).detach();
    }
  }).detach();
}

void Store::SetKey(const std::string& topic,
                   const std::string& key,
                   const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->topics[topic].records.push_back(
      std::string(1, static_cast<char>(key.size())) + key + value);
  this->changed.notify_all();
}

void Store::TakeCopy() {
  const std::lock_guard lock(this->mutex);
  this->copy = this->topics;
}

void Store::Restore() {
  const std::lock_guard lock(this->mutex);
  this->topics = this->copy;
  ++this->era;
  this->changed.notify_all();
}

void Store::SetDown(bool is_down) {
  const std::lock_guard lock(this->mutex);
  this->down = is_down;
  this->changed.notify_all();
}

void Store::Serve(int file) {
  Connection connection(file);
  while (const auto request = connection.ReadRequest()) {
    if (!connection.Write(this->Answer(*request))) {
      return;
    }
  }
}

std::string Store::Render(int status,
                          const std::string& type,
                          const std::string& body) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nStore-Era: " + std::to_string(this->era) +
         "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Store::Answer(const Request& request) {
  const std::string topic = Parameter(request.target, "topic");
  {
    const std::lock_guard lock(this->mutex);
    if (this->down) {
      return this->Render(kUnavailable, "application/json", "{}");
    }
  }
  if (request.target.starts_with("/api/log-append")) {
    return this->Append(topic, request.body);
  }
  if (request.target.starts_with("/api/log-read")) {
    return this->Read(topic, NumberParameter(request.target, "from"),
                      milliseconds(NumberParameter(request.target, "wait_ms")));
  }
  return this->Newest(topic, Parameter(request.target, "after"));
}

std::string Store::Append(const std::string& topic, const std::string& body) {
  const std::lock_guard lock(this->mutex);
  auto& records = this->topics[topic].records;
  const std::size_t offset = records.size();
  for (std::size_t at = 0; at + kLengthBytes <= body.size();) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      size = (size << 8) | static_cast<unsigned char>(body[at + i]);
    }
    records.push_back(body.substr(at + kLengthBytes, size));
    at += kLengthBytes + size;
  }
  this->changed.notify_all();
  return this->Render(kOk, "application/json",
                      "{\"offset\":" + std::to_string(offset) +
                          ",\"end\":" + std::to_string(records.size()) + "}");
}

std::string Store::Read(const std::string& topic,
                        std::size_t from,
                        milliseconds wait) {
  std::unique_lock lock(this->mutex);
  const std::uint64_t era_before = this->era;
  this->changed.wait_for(lock, wait, [&] {
    return this->topics[topic].records.size() > from ||
           this->era != era_before || this->down;
  });
  if (this->down) {
    return this->Render(kUnavailable, "application/json", "{}");
  }
  const auto& records = this->topics[topic].records;
  if (from > records.size()) {
    return this->Render(kGone, "application/json", "{\"first\":0}");
  }
  std::string body;
  AppendBigEndian(body, records.size(), 8);
  AppendBigEndian(body, 0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    AppendBigEndian(body, records[i].size(), kLengthBytes);
    body += records[i];
  }
  return this->Render(kOk, "application/octet-stream", body);
}

std::string Store::Newest(const std::string& topic, const std::string& after) {
  const std::lock_guard lock(this->mutex);
  const auto& records = this->topics[topic].records;
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < records.size(); ++i) {
    newest[KeyOf(records[i])] = i;
  }
  std::string items;
  for (const auto& [key, offset] : newest) {
    const std::string value = ValueOf(records[offset]);
    if (value.empty() || key <= after) {
      continue;
    }
    items += (items.empty() ? "" : ",");
    items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
             "\",\"offset\":" + std::to_string(offset) + "}";
  }
  return this->Render(kOk, "application/json",
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" +
                          std::to_string(records.size()) + "}");
}

}  // namespace review
