#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace review {

/// The platform's store: topics with one partition, appended to and read over
/// HTTP. The operator and the runners write to it by `SetKey`.
class Store {
 public:
  explicit Store(const std::string& ip);

  [[nodiscard]] const Address& Where() const { return this->address; }
  /// Appends a record that sets a key; an empty value removes it.
  void SetKey(const std::string& topic,
              const std::string& key,
              const std::string& value);
  /// Keeps a copy of all records, from which `Restore` returns.
  void TakeCopy();
  /// Replaces all records by those of the copy and raises the era.
  void Restore();
  /// While true, every call is answered with 503.
  void SetDown(bool down);

 private:
  struct Topic {
    std::vector<std::string> records;
  };

  void Serve(int file);
  std::string Answer(const Request& request);
  std::string Append(const std::string& topic, const std::string& body);
  std::string Read(const std::string& topic,
                   std::size_t from,
                   milliseconds wait);
  std::string Newest(const std::string& topic, const std::string& after);
  [[nodiscard]] std::string Render(int status,
                                   const std::string& type,
                                   const std::string& body) const;

  Address address;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  std::map<std::string, Topic> copy;
  std::uint64_t era = 1;
  bool down = false;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STORE_H_
