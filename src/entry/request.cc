#include "entry/request.h"

#include <boost/json.hpp>
#include <charconv>

#include "pimentospar/digest.h"
#include "pimentospar/fingerprint.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

// English text has about four bytes per token.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kMaxTokensLimit = 1'000'000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
// Blocks of 128 tokens. Only the first 4,096 tokens of longer prompts are
// hashed.
constexpr std::size_t kPrefixBlockBytes = 512;
constexpr std::size_t kMaxPrefixes = 32;

RequestError MakeError(Reason reason, std::string detail) {
  return {.reason = reason, .detail = std::move(detail)};
}

// Returns a hash for each prefix of the prompt that consists of whole blocks.
std::vector<PrefixBlock> HashPrefixes(std::string_view text) {
  std::vector<PrefixBlock> prefixes;
  std::uint64_t hash = 0;
  for (std::size_t end = kPrefixBlockBytes; end <= text.size();
       end += kPrefixBlockBytes) {
    hash =
        Hash64(text.substr(end - kPrefixBlockBytes, kPrefixBlockBytes), hash);
    prefixes.push_back(
        {hash, static_cast<std::uint32_t>(end / kBytesPerToken)});
    if (prefixes.size() == kMaxPrefixes) {
      break;
    }
  }
  return prefixes;
}

// Parses the JSON body of a chat request.
std::variant<ChatRequest, RequestError> ParseChat(const json::value& value) {
  const json::object* body = value.if_object();
  if (body == nullptr) {
    return MakeError(Reason::kWrongType, "the body is not a JSON object");
  }
  ChatRequest chat;
  const json::value* model = body->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MakeError(Reason::kWrongType, "model: is missing or not a string");
  }
  const std::string_view name = model->get_string();
  const std::size_t colon = name.find(':');
  chat.model = ModelId(name.substr(0, colon));
  if (colon != std::string_view::npos) {
    chat.adapter = AdapterId(name.substr(colon + 1));
  }
  const json::value* messages = body->if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return MakeError(Reason::kWrongType,
                     "messages: is missing, empty or not an array");
  }
  std::string text;
  for (const json::value& message : messages->get_array()) {
    const json::object* object = message.if_object();
    const json::value* content =
        object == nullptr ? nullptr : object->if_contains("content");
    if (content == nullptr || !content->is_string()) {
      return MakeError(
          Reason::kWrongType,
          "messages: a message has no content or it is not a string");
    }
    text += content->get_string();
  }
  chat.prefix = HashPrefixes(text);
  chat.prompt_tokens =
      static_cast<std::uint32_t>(text.size() / kBytesPerToken + 1);
  if (const json::value* stream = body->if_contains("stream")) {
    if (!stream->is_bool()) {
      return MakeError(Reason::kWrongType, "stream: is not a boolean");
    }
    chat.stream = stream->get_bool();
  }
  chat.max_tokens = kDefaultMaxTokens;
  if (const json::value* limit = body->if_contains("max_tokens")) {
    json::error_code error;
    const auto number =
        limit->is_number() ? limit->to_number<std::uint32_t>(error) : 0;
    if (error || number == 0 || number > kMaxTokensLimit) {
      return MakeError(Reason::kWrongType,
                       "max_tokens: is not an integer from 1 to 1000000");
    }
    chat.max_tokens = number;
  }
  return chat;
}

const AdapterConfig* FindAdapter(const ModelConfig& model,
                                 const AdapterId& id) {
  for (const AdapterConfig& adapter : model.adapters) {
    if (adapter.id == id) {
      return &adapter;
    }
  }
  return nullptr;
}

FilterResult ValidateChat(RequestContext& context, const json::value& body) {
  auto parsed = ParseChat(body);
  if (auto* error = std::get_if<RequestError>(&parsed)) {
    return std::move(*error);
  }
  auto& chat = std::get<ChatRequest>(parsed);
  const ModelConfig* model =
      FindModel(context.config->configuration, chat.model);
  if (model == nullptr) {
    return MakeError(Reason::kUnknownModel,
                     "model '" + chat.model.value + "' is not configured");
  }
  if (!chat.adapter.IsEmpty() && FindAdapter(*model, chat.adapter) == nullptr) {
    return MakeError(Reason::kUnknownModel, "model '" + chat.model.value +
                                                "' has no adapter '" +
                                                chat.adapter.value + "'");
  }
  context.priority = model->priority;
  context.fingerprint = FingerprintOf(context.owner, chat.model,
                                      context.exchange->Request().body);
  context.request = std::move(chat);
  return std::nullopt;
}

FilterResult ValidateService(RequestContext& context, std::string_view rest) {
  const HttpRequest& http = context.exchange->Request();
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos ||
      rest.find('/', slash + 1) != std::string_view::npos) {
    return MakeError(Reason::kNotFound,
                     "the path is not /v1/services/{service}/{operation}");
  }
  ServiceRequest call;
  call.service = ServiceId(rest.substr(0, slash));
  call.operation = OperationId(rest.substr(slash + 1));
  const ServiceConfig* service =
      FindService(context.config->configuration, call.service);
  if (service == nullptr) {
    return MakeError(Reason::kUnknownService,
                     "service '" + call.service.value + "' is not configured");
  }
  const OperationConfig* operation = FindOperation(*service, call.operation);
  if (operation == nullptr) {
    return MakeError(Reason::kUnknownOperation,
                     "operation '" + call.operation.value + "' does not exist");
  }
  call.idempotent = operation->idempotent;
  call.key = std::string(http.Header("Idempotency-Key"));
  if (!call.idempotent && call.key.empty()) {
    return MakeError(Reason::kMissingIdempotencyKey,
                     "operation '" + call.operation.value +
                         "' requires the header Idempotency-Key");
  }
  if (call.key.size() > kMaxIdempotencyKeyBytes) {
    return MakeError(Reason::kWrongType,
                     "Idempotency-Key: is longer than 255 bytes");
  }
  context.fingerprint =
      FingerprintOf(context.owner, call.service, call.operation, http.body);
  context.request = std::move(call);
  return std::nullopt;
}

}  // namespace

FilterResult DeadlineFilter::operator()(RequestContext& context) const {
  const std::string_view text =
      context.exchange->Request().Header("Deadline-Ms");
  std::uint64_t limit =
      static_cast<std::uint64_t>(this->settings.deadline_default.count());
  if (!text.empty()) {
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), limit);
    if (error != std::errc() || end != text.data() + text.size() ||
        limit == 0) {
      return MakeError(Reason::kWrongType,
                       "Deadline-Ms: is not a positive number of milliseconds");
    }
  }
  limit = std::min(
      limit, static_cast<std::uint64_t>(this->settings.deadline_max.count()));
  context.deadline = context.received + std::chrono::milliseconds(limit);
  return std::nullopt;
}

FilterResult AuthenticateFilter::operator()(RequestContext& context) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view text =
      context.exchange->Request().Header("Authorization");
  if (!text.starts_with(kScheme)) {
    return MakeError(Reason::kUnauthorized,
                     "the header Authorization: Bearer TOKEN is missing");
  }
  const OwnerConfig* owner = FindOwnerByTokenHash(
      context.config->configuration, Sha256Hex(text.substr(kScheme.size())));
  if (owner == nullptr) {
    return MakeError(Reason::kUnauthorized, "the token is unknown");
  }
  context.owner = owner->id;
  return std::nullopt;
}

FilterResult ValidateFilter::operator()(RequestContext& context) const {
  constexpr std::string_view kServices = "/v1/services/";
  const HttpRequest& http = context.exchange->Request();
  const bool is_chat = http.path == "/v1/chat/completions";
  if (!is_chat && !http.path.starts_with(kServices)) {
    return MakeError(Reason::kNotFound, http.path);
  }
  if (http.method != "POST") {
    return MakeError(Reason::kMethodNotAllowed, "the method is not POST");
  }
  if (!http.Header("Content-Type").starts_with("application/json")) {
    return MakeError(Reason::kUnsupportedMediaType,
                     std::string(http.Header("Content-Type")));
  }
  json::error_code error;
  const json::value body = json::parse(http.body, error);
  if (error) {
    return MakeError(Reason::kMalformedJson, error.message());
  }
  if (is_chat) {
    return ValidateChat(context, body);
  }
  return ValidateService(context,
                         std::string_view(http.path).substr(kServices.size()));
}

FilterResult AuthorizeFilter::operator()(RequestContext& context) const {
  const Configuration& configuration = context.config->configuration;
  for (const OwnerConfig& owner : configuration.owners) {
    if (owner.id != context.owner) {
      continue;
    }
    const auto* chat = std::get_if<ChatRequest>(&context.request);
    if (chat != nullptr && !MayUse(owner, chat->model)) {
      return MakeError(Reason::kForbidden, "the owner may not use model '" +
                                               chat->model.value + "'");
    }
    const auto* call = std::get_if<ServiceRequest>(&context.request);
    if (call != nullptr && !MayUse(owner, call->service)) {
      return MakeError(Reason::kForbidden, "the owner may not use service '" +
                                               call->service.value + "'");
    }
    return std::nullopt;
  }
  return MakeError(Reason::kForbidden, "the owner is no longer configured");
}

}  // namespace pimentospar
