#define BOOST_TEST_MODULE process_start
#include <sys/stat.h>

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

}  // namespace
}  // namespace pimentospar::test
