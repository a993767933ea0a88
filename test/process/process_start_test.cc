#define BOOST_TEST_MODULE process_start
#include <sys/stat.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "gateway_process.h"

namespace pimentospar::test {
namespace {

constexpr int kSuccess = 0;

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

Tcp::endpoint At(const ProcessAddresses& addresses, std::uint16_t port) {
  return {boost::asio::ip::make_address(addresses.ip), port};
}

// A process whose settings file is a pipe, so that its start lasts until the
// test writes the settings.
struct StartingProcess {
  StartingProcess() {
    BOOST_REQUIRE(mkfifo(this->file.c_str(), S_IRUSR | S_IWUSR) == 0);
    this->process.emplace(this->file);
    // Opened by the process as well once the program runs.
    this->settings.open(this->file);
  }

  void Continue() {
    const std::string text = SettingsText(this->addresses);
    // Later reads of the settings find a file.
    std::filesystem::remove(this->file);
    WriteFile(this->file, text);
    this->settings << text;
    this->settings.close();
  }

  TemporaryFolder folder;
  std::string file = this->folder.File("settings.toml");
  ProcessAddresses addresses{OwnIp()};
  std::optional<GatewayProcess> process;
  std::ofstream settings;
};

// The platform changes the settings of a process that it has just started. The
// signal ended the process, since it was handled only after the start.
BOOST_FIXTURE_TEST_CASE(HangupDuringTheStartEndsTheProcess, StartingProcess) {
  this->process->Signal(SIGHUP);
  this->Continue();
  BOOST_TEST(this->process->AwaitOutput("event=settings_reloaded"));
  BOOST_TEST(!this->process->End());
}

// A stop right after the start is a planned stop too: the process ended by the
// signal, without its exit code and its log lines.
BOOST_FIXTURE_TEST_CASE(StopDuringTheStartIsNotGraceful, StartingProcess) {
  this->process->Signal(SIGTERM);
  this->Continue();
  const auto end = this->process->AwaitEnd();
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((end->exit_code == kSuccess));
  BOOST_TEST(this->process->Output().find("event=stopped") !=
             std::string::npos);
}

// The platform rewrites the settings file while a process starts. The process
// read a part of it and exited.
BOOST_AUTO_TEST_CASE(SettingsThatAreBeingWrittenEndTheProcess) {
  const TemporaryFolder folder;
  const ProcessAddresses addresses{OwnIp()};
  const std::string text = SettingsText(addresses);
  WriteFile(folder.File("settings.toml"), text.substr(0, text.size() / 2));
  GatewayProcess process(folder.File("settings.toml"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  WriteFile(folder.File("settings.toml"), text);
  BOOST_TEST(process.AwaitOutput("event=started"));
  BOOST_TEST(!process.End());
}

// Settings that stay faulty end the process, with a line for each fault.
BOOST_AUTO_TEST_CASE(FaultySettingsEndTheProcessWithALine) {
  const TemporaryFolder folder;
  WriteFile(folder.File("settings.toml"), "host = 1\n");
  GatewayProcess process(folder.File("settings.toml"));
  const auto end = process.AwaitEnd();
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((end->exit_code == 2));
  BOOST_TEST(process.Output().find("address.caller: must be") !=
             std::string::npos);
}

// A predecessor that still drains, or another program, holds a port. The
// process exited without a word.
BOOST_AUTO_TEST_CASE(PortInUseEndsTheProcess) {
  const ProcessAddresses addresses{OwnIp()};
  boost::asio::io_context context;
  for (const std::uint16_t port :
       {addresses.caller, addresses.ready, addresses.metrics}) {
    const TemporaryFolder folder;
    WriteFile(folder.File("settings.toml"), SettingsText(addresses));
    std::optional<Tcp::acceptor> holder(std::in_place, context,
                                        At(addresses, port));
    GatewayProcess process(folder.File("settings.toml"));
    BOOST_TEST(process.AwaitOutput("event=listen_failed"));
    BOOST_TEST(process.AwaitOutput("event=started"));
    // The other addresses are served meanwhile.
    for (const std::uint16_t other : {addresses.ready, addresses.metrics}) {
      if (other != port) {
        BOOST_TEST(Get(At(addresses, other), "/").starts_with("HTTP/1.1 "));
      }
    }
    holder.reset();
    BOOST_TEST(Eventually([&] {
      return Get(At(addresses, port), "/").starts_with("HTTP/1.1 ");
    }));
    BOOST_TEST(!process.End());
  }
}

// The same for the port of the datagrams between the entries.
BOOST_AUTO_TEST_CASE(EntryPortInUseEndsTheProcess) {
  using Udp = boost::asio::ip::udp;
  const TemporaryFolder folder;
  const ProcessAddresses addresses{OwnIp()};
  WriteFile(folder.File("settings.toml"), SettingsText(addresses));
  boost::asio::io_context context;
  const Udp::endpoint entry(boost::asio::ip::make_address(addresses.ip),
                            addresses.entry);
  std::optional<Udp::socket> holder(std::in_place, context, entry);
  GatewayProcess process(folder.File("settings.toml"));
  BOOST_TEST(process.AwaitOutput("event=listen_failed"));
  BOOST_TEST(process.AwaitOutput("event=started"));
  holder.reset();
  BOOST_TEST(process.AwaitOutput("event=listening"));
  BOOST_TEST(!process.End());
}

}  // namespace
}  // namespace pimentospar::test
