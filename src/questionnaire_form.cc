#include "pimentospar/questionnaire.h"

namespace pimentospar {

namespace {

constexpr std::string_view kForm =
    R"(# Questionnaire for a deployment. Fill it in and run
#
#     pimentosparctl generate FORM > configuration.json
#
# A group stands for several identical entries: `count = 20` expands the id "care"
# to care-01 up to care-20. Leave out `count` for a single entry.

# Name of the deployment.
deployment = "example"

# Which measure takes precedence when the two conflict: "moves" (few loads, unloads
# and role changes) or "attainment" (requests within their latency targets for each
# accelerator).
objective = "attainment"

# Limits of the platform's log. Records are deleted after `retention_hours`;
# idempotency keys are remembered for `key_retention_hours`, at most half of it.
[log]
appends_per_second = 300
retention_hours = 168
key_retention_hours = 24

# Limits of the weight store: loads a second, loads at once at full speed, and
# adapter loads in flight across all targets before each one slows down.
[store]
loads_per_second = 2
parallel_loads = 3
parallel_adapter_loads = 25

# Regions and their data centres. Links between regions are slow and billed.
[[regions]]
id = "north"
data_centres = ["north-1", "north-2"]

[[regions]]
id = "south"
data_centres = ["south-1"]

# Parties that share the system. `weight` is the share of a full system relative
# to the other owners. `priority` (interactive, normal, batch) applies to
# the owner's models that set none. `models` and `services` limit what the owner may
# use; leave them out for everything. `name-*` stands for a whole group.
# Create a token with `pimentosparctl token` and write its SHA-256 here; the token
# itself goes to the owner only.
[[owners]]
id = "shop"
weight = 1.0
priority = "interactive"
token_hashes = []

# Models. `weight_gb` is the memory for the weights of one copy, `kv_kb_per_token`
# the KV cache of one token. `adapters` is the number of adapters of each model and
# `adapter_mb` the size of each. The latency targets are for 95 in 100 requests.
[[models]]
id = "chat"
count = 4
version = "1"
weight_gb = 14
kv_kb_per_token = 128
owner = "shop"
first_token_ms = 1100
between_tokens_ms = 42
adapters = 2
adapter_mb = 120

# Plain services. List the operations that are safe to repeat under `idempotent`
# and those that must run at most once under `once`. `home_region` is the region
# that decides the latter, `shards` the number of claims streams for them.
[[services]]
id = "booking"
home_region = "north"
shards = 4
idempotent = ["lookup"]
once = ["book", "cancel"]

# Targets. The group is spread over `data_centres` in turn; leave it out for all.
# `memory_gb` is the memory of one accelerator. `checks_fencing` says whether the
# engine rejects an order with an old fencing token; if in doubt, false.
[[targets]]
id = "engine"
count = 6
accelerators = 1
memory_gb = 80
checks_fencing = true

# A target of a plain service names it and has no accelerators.
[[targets]]
id = "booking"
count = 3
service = "booking"
)";

}  // namespace

std::string_view QuestionnaireForm() {
  return kForm;
}

}  // namespace pimentospar
