#ifndef TEST_GATEWAY_FRAGILE_FLEET_H_
#define TEST_GATEWAY_FRAGILE_FLEET_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"

namespace pimentospar::test {

constexpr std::string_view kDeadlyPart = "dead:100";
constexpr std::size_t kTruncatedBytes = 150;
constexpr std::string_view kFragileFleetConfig =
    R"({"version":1,"services":[{"name":"s"}],"routes":[)"
    R"({"name":"chat","host":"a.example","path_prefix":"/chat/",)"
    R"("kind":"stream","resumable":true,"service":"s","attempts":2,)"
    R"("timeout_ms":4000,"goal_ms":1000},)"
    R"({"name":"call","host":"a.example","path_prefix":"/call/",)"
    R"("kind":"safe","service":"s","attempts":2,)"
    R"("timeout_ms":4000,"goal_ms":1000}]})";

inline std::string CompleteStream(const std::string& id) {
  const std::string body = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
  return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id +
         "\r\nX-Pimentospar-Response-Stamp: s\r\nContent-Type: "
         "text/event-stream\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string UnframedHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id +
         "\r\nX-Pimentospar-Response-Stamp: s\r\nContent-Type: "
         "text/event-stream\r\n\r\n";
}

/// A header that makes a request deadly. The gateway does not know it, so that
/// it has to recognise the request by what else it holds.
constexpr std::string_view kDeadlyHeader = "X-Deadly: 1\r\n";

/// A stream that a caller asks for.
struct StreamRequest {
  std::string path;
  std::string prompt;
  std::string host = "a.example";
  /// Further header lines, each with its end.
  std::string headers;
  std::string body;
  bool chunked = false;
};

/// Returns the end of the head of a request, and its body.
inline std::string FramedBody(const StreamRequest& request) {
  if (!request.chunked) {
    return "Content-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n" + request.body;
  }
  std::string text = "Transfer-Encoding: chunked\r\n\r\n";
  for (const char byte : request.body) {
    text += std::string("1\r\n") + byte + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/// A target that crashes when it begins to respond to a request with the deadly
/// part or header.
class FragileTarget {
 public:
  void Crash() {
    this->crashed = true;
    ++this->crashes;
    this->target.Crash();
  }
  /// Comes back with the same id and address.
  void Restart() {
    this->crashed = false;
    this->target.Restart();
  }
  [[nodiscard]] std::size_t Crashes() const { return this->crashes; }
  [[nodiscard]] std::string Address() const { return this->target.Address(); }
  [[nodiscard]] bool HasCrashed() const { return this->crashed; }
  /// Makes the target respond to all requests, or crash again by deadly ones.
  void SetSound(bool is_sound) { this->sound = is_sound; }

 private:
  bool Respond(RawConnection& connection, const std::string& request) {
    if (this->crashed) {
      return false;
    }
    const bool is_deadly =
        Contains(request, kDeadlyPart) || Contains(request, kDeadlyHeader);
    if (is_deadly && !this->sound) {
      // Ends inside an event of a response without a length, or short of the
      // length of a response that has one.
      const std::string id = RequestIdOf(request);
      connection.Write(Contains(request, "/chat/")
                           ? UnframedHead(id) + "id: 1\nda"
                           : CompleteStream(id).substr(0, kTruncatedBytes));
      this->Crash();
      return false;
    }
    connection.Write(CompleteStream(RequestIdOf(request)));
    return true;
  }

  std::size_t crashes = 0;
  bool crashed = false;
  bool sound = false;
  ScriptedTarget target{
      [this](RawConnection& connection, const std::string& request) {
        return this->Respond(connection, request);
      }};
};

/// Entries before targets that crash.
class FragileFleet {
 public:
  FragileFleet(std::size_t entries, std::size_t target_count)
      : fleet(Fleet::Create()) {
    this->fleet.SetConfig(std::string(kFragileFleetConfig));
    for (std::size_t i = 0; i < target_count; ++i) {
      this->AddTarget();
    }
    for (std::size_t i = 0; i < entries; ++i) {
      this->AddEntry();
    }
  }

  void AddTarget() {
    this->targets.push_back(new FragileTarget);
    this->fleet.AddTarget("i-" + std::to_string(this->targets.size()), "s",
                          this->targets.back()->Address());
  }

  void AddEntry() {
    const std::string host = "h" + std::to_string(this->fleet.gateways.size());
    const Gateway& entry = this->fleet.Start(host, 0.2);
    BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  }

  /// Lets all targets that have crashed come back.
  void RestartTargets() {
    for (FragileTarget* target : this->targets) {
      if (target->HasCrashed()) {
        target->Restart();
      }
    }
  }

  /// Cuts an entry off from the log and from the messages of the lease holder,
  /// which reads the other entries once a second.
  void CutOff(std::size_t entry) {
    this->fleet.views.at(entry)->cut = true;
    (void)this->fleet.log.AppendKeyed(this->fleet.registry.EntryStream(),
                                      "h" + std::to_string(entry),
                                      std::nullopt);
    boost::this_fiber::sleep_for(milliseconds(1500));
  }

  void SetSound(bool is_sound) {
    for (FragileTarget* target : this->targets) {
      target->SetSound(is_sound);
    }
  }

  void CrashTarget(std::size_t target) { this->targets.at(target)->Crash(); }

  /// Sends a request with its own path and last part, and returns the response.
  std::string Send(std::size_t entry, const std::string& shared_parts) {
    const std::string own = std::to_string(this->requests + 1);
    return this->SendStream(entry, "/chat/" + own,
                            shared_parts + ",own" + own + ":10");
  }

  /// Sends a request for this path with this prompt, and returns the response.
  std::string SendStream(std::size_t entry,
                         const std::string& path,
                         const std::string& prompt) {
    return this->SendStream(entry, {path, prompt});
  }

  /// Sends a request and returns the response.
  std::string SendStream(std::size_t entry, const StreamRequest& request) {
    RawConnection caller(this->fleet.gateways.at(entry)->CallerAddress());
    caller.Write("POST " + request.path + " HTTP/1.1\r\nHost: " + request.host +
                 "\r\nConnection: close\r\n" + "X-Pimentospar-Request-Id: " +
                 std::to_string(++this->requests) +
                 "\r\nX-Pimentospar-Prompt-Prefix: " + request.prompt +
                 "\r\nX-Pimentospar-Deadline-Ms: 4000\r\n" + request.headers +
                 FramedBody(request));
    return caller.ReadAll();
  }

  /// Sends a call with this body and no prompt, and returns the response.
  std::string Call(std::size_t entry, const std::string& body) {
    RawConnection caller(this->fleet.gateways.at(entry)->CallerAddress());
    caller.Write(
        "POST /call/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
        "X-Pimentospar-Request-Id: " +
        std::to_string(++this->requests) +
        "\r\nX-Pimentospar-Deadline-Ms: 4000\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.ReadAll();
  }

  /// Returns the number of causes of crashes on the log.
  [[nodiscard]] std::size_t CauseCount() const {
    return this->fleet.log
        .ReadLatestValues(this->fleet.registry.CrashCauseStream(), "")
        .items.size();
  }

  [[nodiscard]] std::size_t CrashedTargets() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->targets, &FragileTarget::HasCrashed));
  }

  /// Returns how often targets have crashed.
  [[nodiscard]] std::size_t Crashes() const {
    std::size_t crashes = 0;
    for (const FragileTarget* target : this->targets) {
      crashes += target->Crashes();
    }
    return crashes;
  }

  Fleet& fleet;

 private:
  // Their connections are served until the program ends.
  std::vector<FragileTarget*> targets;
  std::size_t requests = 0;
};

}  // namespace pimentospar::test

#endif  // TEST_GATEWAY_FRAGILE_FLEET_H_
