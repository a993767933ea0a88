#include "ctl/saved_stream.h"

#include <boost/json.hpp>
#include <fstream>

namespace pimentospar::ctl {

namespace {

namespace json = boost::json;

class SavedStream final : public ConfigStream {
 public:
  explicit SavedStream(std::vector<ConfigRecord> records)
      : records(std::move(records)) {}

  AppendResult Append(std::string_view) override { return NotAppended{}; }

  std::optional<ConfigPage> Read(LogOffset from) override {
    ConfigPage page{from, from, {}};
    for (const ConfigRecord& record : this->records) {
      if (record.offset >= from) {
        page.records.push_back(record);
        page.next = LogOffset{record.offset.value + 1};
      }
    }
    return page;
  }

 private:
  std::vector<ConfigRecord> records;
};

class SavingClient final : public ConfigStream {
 public:
  SavingClient(std::unique_ptr<ConfigStream> client, const std::string& path)
      : client(std::move(client)), file(path) {}

  AppendResult Append(std::string_view body) override {
    return this->client->Append(body);
  }

  std::optional<ConfigPage> Read(LogOffset from) override {
    std::optional<ConfigPage> page = this->client->Read(from);
    if (!page) {
      return page;
    }
    for (const ConfigRecord& record : page->records) {
      if (record.offset < this->saved) {
        continue;
      }
      this->file << json::serialize(
                        json::object{{"offset", record.offset.value},
                                     {"time_ms", record.time_ms},
                                     {"body", record.body}})
                 << "\n";
      this->saved = LogOffset{record.offset.value + 1};
    }
    this->file.flush();
    return page;
  }

 private:
  std::unique_ptr<ConfigStream> client;
  std::ofstream file;
  LogOffset saved;
};

}  // namespace

std::unique_ptr<ConfigStream> OpenSavedStream(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return nullptr;
  }
  std::vector<ConfigRecord> records;
  std::string line;
  while (std::getline(file, line)) {
    json::error_code error;
    const json::value value = json::parse(line, error);
    if (error || !value.is_object()) {
      return nullptr;
    }
    try {
      const json::object& object = value.get_object();
      records.push_back(
          {LogOffset{object.at("offset").to_number<std::uint64_t>()},
           object.at("time_ms").to_number<std::int64_t>(),
           std::string(object.at("body").as_string())});
    } catch (const std::exception&) {
      return nullptr;
    }
  }
  return std::make_unique<SavedStream>(std::move(records));
}

std::unique_ptr<ConfigStream> SaveStream(std::unique_ptr<ConfigStream> client,
                                         const std::string& path) {
  return std::make_unique<SavingClient>(std::move(client), path);
}

}  // namespace pimentospar::ctl
