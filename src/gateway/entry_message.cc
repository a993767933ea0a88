#include "gateway/entry_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "gateway.capnp.h"
#include "rpc/wire_strikes.h"
#include "rpc/wire_values.h"

namespace pimentospar {

namespace {

using std::chrono::milliseconds;

// Enough for the message in the largest datagram; a message beyond this does
// not come from an entry.
constexpr std::uint64_t kMaxWords = 64ULL * 1024;
// Added to optional ages, since 0 stands for none.
constexpr milliseconds kAgeOffset{1};

void Write(wire::EntryCopy::Builder to, const ServiceCopy& from) {
  to.setService(from.service.value);
  to.setModel(from.copy.model.value);
  to.setAdapter(from.copy.adapter.value);
}

ServiceCopy Read(wire::EntryCopy::Reader from) {
  return {ServiceId(ToStdString(from.getService())),
          {ModelId(ToStdString(from.getModel())),
           AdapterId(ToStdString(from.getAdapter()))}};
}

void Write(wire::EntryInventory::Builder to, const TargetInventory& from) {
  to.setTarget(from.target.value);
  to.setStartedMs(from.inventory.started_ms);
  to.setOrders(from.inventory.accepted_orders);
  auto models =
      to.initModels(static_cast<unsigned>(from.inventory.models.size()));
  unsigned index = 0;
  for (const LoadedModel& loaded : from.inventory.models) {
    auto entry = models[index++];
    entry.setModel(loaded.model.value);
    auto adapters =
        entry.initAdapters(static_cast<unsigned>(loaded.adapters.size()));
    unsigned place = 0;
    for (const AdapterId& adapter : loaded.adapters) {
      adapters.set(place++, adapter.value);
    }
  }
}

TargetInventory Read(wire::EntryInventory::Reader from) {
  TargetInventory read{TargetId(ToStdString(from.getTarget())),
                       {from.getStartedMs(), from.getOrders(), {}}};
  for (const auto entry : from.getModels()) {
    LoadedModel loaded{ModelId(ToStdString(entry.getModel())), {}};
    for (const auto adapter : entry.getAdapters()) {
      loaded.adapters.emplace_back(ToStdString(adapter));
    }
    read.inventory.models.push_back(std::move(loaded));
  }
  return read;
}

void WriteFeed(wire::EntryMessage::Builder to, const EntryMessage& from) {
  to.setRegistrationCount(from.registration_count);
  to.setRegistrationAgeMs(ToWireMilliseconds(from.registration_age));
  to.setEntryCount(static_cast<std::uint32_t>(from.entry_count));
  auto registrations =
      to.initRegistrations(static_cast<unsigned>(from.registrations.size()));
  unsigned index = 0;
  for (const RegistrationChange& change : from.registrations) {
    auto row = registrations[index++];
    row.setTarget(change.target.value);
    row.setValue(change.value);
  }
  auto loads = to.initLoads(static_cast<unsigned>(from.loads.size()));
  index = 0;
  for (const TargetLoadReport& entry : from.loads) {
    auto row = loads[index++];
    row.setTarget(entry.target.value);
    row.setRunning(static_cast<std::uint16_t>(entry.load.running));
    row.setWaiting(static_cast<std::uint16_t>(entry.load.waiting));
    row.setSlowdown(static_cast<float>(entry.load.slowdown.value_or(0)));
  }
}

void ReadFeed(wire::EntryMessage::Reader from, EntryMessage& to) {
  to.registration_count = from.getRegistrationCount();
  to.registration_age = milliseconds(from.getRegistrationAgeMs());
  to.entry_count = from.getEntryCount();
  for (const auto row : from.getRegistrations()) {
    to.registrations.push_back(
        {TargetId(ToStdString(row.getTarget())), ToStdString(row.getValue())});
  }
  for (const auto row : from.getLoads()) {
    ReportedLoad load{row.getRunning(), row.getWaiting()};
    if (row.getSlowdown() > 0) {
      load.slowdown = row.getSlowdown();
    }
    to.loads.push_back({TargetId(ToStdString(row.getTarget())), load});
  }
}

std::optional<milliseconds> ReadOptionalAge(std::uint32_t wire_age_ms) {
  return wire_age_ms == 0
             ? std::nullopt
             : std::optional(milliseconds(wire_age_ms) - kAgeOffset);
}

void WriteStrikes(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto strikes = to.initStrikes(static_cast<unsigned>(from.strikes.size()));
  unsigned index = 0;
  for (const StrikeReport& report : from.strikes) {
    auto row = strikes[index++];
    WriteStrike(row, report);
    row.setCompletedAgeMs(
        report.completed_age
            ? ToWireMilliseconds(*report.completed_age + kAgeOffset)
            : 0);
  }
}

void ReadStrikes(wire::EntryMessage::Reader from, EntryMessage& to) {
  for (const auto row : from.getStrikes()) {
    to.strikes.push_back(ReadStrike(row));
    to.strikes.back().completed_age = ReadOptionalAge(row.getCompletedAgeMs());
  }
}

void WriteLimits(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto limits = to.initLimits(static_cast<unsigned>(from.limits.size()));
  unsigned index = 0;
  for (const TargetLimitReport& report : from.limits) {
    auto row = limits[index++];
    row.setTarget(report.target.value);
    row.setStartedMs(report.started_ms);
    row.setPerSecond(report.per_second.value_or(0));
    row.setAgeMs(ToWireMilliseconds(report.age));
  }
}

void ReadLimits(wire::EntryMessage::Reader from, EntryMessage& to) {
  for (const auto row : from.getLimits()) {
    const double per_second = row.getPerSecond();
    to.limits.push_back(
        {TargetId(ToStdString(row.getTarget())), row.getStartedMs(),
         per_second > 0 ? std::optional(per_second) : std::nullopt,
         milliseconds(row.getAgeMs())});
  }
}

void WritePermits(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto requests =
      to.initPermitRequests(static_cast<unsigned>(from.permit_requests.size()));
  unsigned index = 0;
  for (const PermitRequest& request : from.permit_requests) {
    auto row = requests[index++];
    row.setId(request.id);
    row.setTarget(request.target.value);
    row.setPerSecond(request.per_second);
    row.setMaxDelayMs(ToWireMilliseconds(request.max_delay));
  }
  auto replies =
      to.initPermitReplies(static_cast<unsigned>(from.permit_replies.size()));
  index = 0;
  for (const PermitReply& reply : from.permit_replies) {
    auto row = replies[index++];
    row.setId(reply.id);
    row.setGranted(reply.granted);
    row.setDelayMs(ToWireMilliseconds(reply.delay));
  }
}

void ReadPermits(wire::EntryMessage::Reader from, EntryMessage& to) {
  for (const auto row : from.getPermitRequests()) {
    to.permit_requests.push_back(
        {row.getId(), TargetId(ToStdString(row.getTarget())),
         row.getPerSecond(), milliseconds(row.getMaxDelayMs())});
  }
  for (const auto row : from.getPermitReplies()) {
    to.permit_replies.push_back(
        {row.getId(), row.getGranted(), milliseconds(row.getDelayMs())});
  }
}

void WriteFreshness(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto queries = to.initFreshnessQueries(
      static_cast<unsigned>(from.freshness_queries.size()));
  unsigned index = 0;
  for (const FreshnessQuery& query : from.freshness_queries) {
    queries.set(index++, query.id);
  }
  auto replies = to.initFreshnessReplies(
      static_cast<unsigned>(from.freshness_replies.size()));
  index = 0;
  for (const FreshnessReply& reply : from.freshness_replies) {
    auto row = replies[index++];
    row.setId(reply.id);
    row.setVersion(reply.version.value);
    row.setHash(reply.hash);
    row.setAgeMs(ToWireMilliseconds(reply.age));
  }
}

void ReadFreshness(wire::EntryMessage::Reader from, EntryMessage& to) {
  for (const std::uint64_t id : from.getFreshnessQueries()) {
    to.freshness_queries.push_back({id});
  }
  for (const auto row : from.getFreshnessReplies()) {
    to.freshness_replies.push_back(
        {row.getId(), ConfigVersion{row.getVersion()}, row.getHash(),
         milliseconds(row.getAgeMs())});
  }
}

void WriteQuotas(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto usage =
      to.initQuotaUsage(static_cast<unsigned>(from.quota_usage.size()));
  unsigned index = 0;
  for (const QuotaUsage& used : from.quota_usage) {
    auto row = usage[index++];
    row.setWorkspace(used.workspace.value);
    row.setAsked(used.asked);
    row.setSent(used.sent);
  }
  auto limits =
      to.initQuotaLimits(static_cast<unsigned>(from.quota_limits.size()));
  index = 0;
  for (const QuotaLimit& limit : from.quota_limits) {
    auto row = limits[index++];
    row.setWorkspace(limit.workspace.value);
    row.setFraction(limit.fraction);
  }
  to.setQuotaEpoch(from.quota_epoch);
  to.setUptimeMs(ToWireMilliseconds(from.uptime));
}

void ReadQuotas(wire::EntryMessage::Reader from, EntryMessage& to) {
  for (const auto row : from.getQuotaUsage()) {
    to.quota_usage.push_back({WorkspaceId(ToStdString(row.getWorkspace())),
                              row.getAsked(), row.getSent()});
  }
  for (const auto row : from.getQuotaLimits()) {
    to.quota_limits.push_back(
        {WorkspaceId(ToStdString(row.getWorkspace())), row.getFraction()});
  }
  to.quota_epoch = from.getQuotaEpoch();
  to.uptime = milliseconds(from.getUptimeMs());
}

void WriteLists(wire::EntryMessage::Builder to, const EntryMessage& from) {
  auto demand = to.initDemand(static_cast<unsigned>(from.demand.size()));
  unsigned index = 0;
  for (const CopyDemand& entry : from.demand) {
    auto row = demand[index++];
    Write(row.initCopy(), entry.copy);
    row.setRequests(static_cast<std::uint32_t>(entry.requests));
    row.setWorkMs(ToWireMilliseconds(entry.engine_time));
  }
  auto wanted = to.initWanted(static_cast<unsigned>(from.wanted.size()));
  index = 0;
  for (const ServiceCopy& copy : from.wanted) {
    Write(wanted[index++], copy);
  }
  auto inventories =
      to.initInventories(static_cast<unsigned>(from.inventories.size()));
  index = 0;
  for (const TargetInventory& entry : from.inventories) {
    Write(inventories[index++], entry);
  }
  WriteFeed(to, from);
  WriteStrikes(to, from);
  WriteLimits(to, from);
  WritePermits(to, from);
  WriteFreshness(to, from);
  WriteQuotas(to, from);
}

EntryMessage Read(wire::EntryMessage::Reader from) {
  EntryMessage read;
  read.host = HostId(ToStdString(from.getHost()));
  read.instance = InstanceId{from.getInstance()};
  read.sequence = from.getSequence();
  read.config = ConfigVersion{from.getConfigVersion()};
  if (from.getLease() > 0) {
    read.lease = LogOffset{from.getLease() - 1};
  }
  for (const auto row : from.getDemand()) {
    read.demand.push_back({Read(row.getCopy()),
                           static_cast<double>(row.getRequests()),
                           milliseconds(row.getWorkMs())});
  }
  for (const auto copy : from.getWanted()) {
    read.wanted.push_back(Read(copy));
  }
  for (const auto entry : from.getInventories()) {
    read.inventories.push_back(Read(entry));
  }
  ReadFeed(from, read);
  ReadStrikes(from, read);
  ReadLimits(from, read);
  ReadPermits(from, read);
  ReadFreshness(from, read);
  ReadQuotas(from, read);
  return read;
}

}  // namespace

std::string Encode(const EntryMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::EntryMessage>();
  root.setHost(message.host.value);
  root.setInstance(message.instance.value);
  root.setSequence(message.sequence);
  root.setConfigVersion(message.config.value);
  root.setLease(message.lease ? message.lease->value + 1 : 0);
  WriteLists(root, message);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<EntryMessage> DecodeEntryMessage(std::span<const char> bytes) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxWords;
    capnp::PackedMessageReader reader(in, options);
    return Read(reader.getRoot<wire::EntryMessage>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pimentospar
