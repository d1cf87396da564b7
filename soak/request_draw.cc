#include "request_draw.h"

#include <array>

#include "bounds.h"
#include "platform/names.h"

namespace ridgehold::soak {
namespace {

namespace field = platform::field;

constexpr std::array kFolders = {"/safe/", "/unsafe/", "/stream/", "/resume/"};

}  // namespace

RequestRecord DrawRequest(const std::string& id, const OperatorLog& operator_log, int process,
                          Random& random) {
  RequestRecord record;
  record.id = record.stream = id;
  record.kind = static_cast<RequestKind>(random.Between(0, 3));
  record.key = operator_log.PickKey(random);
  record.workspace = operator_log.key(record.key).workspace;
  record.process = process;
  RequestMessage& message = record.message;
  message.method(http::verb::post);
  message.target(kFolders.at(static_cast<std::size_t>(record.kind)) + id + "?q=1");
  message.set(http::field::host, "h");
  message.set(http::field::authorization, "Bearer " + record.key);
  message.set(field::kRequestId, id);
  message.set(field::kTimeLeftMs, std::to_string(kCallerDeadline.count()));
  message.set(field::kModel, "m");
  message.set(field::kTokenCounts, "900,10");
  message.set(field::kPrefixHashes, "a" + std::to_string(random.Between(1, 9)) + ":500,b2:400");
  message.body() = std::string(static_cast<std::size_t>(random.Between(0, 5'000)), 'p');
  message.prepare_payload();
  return record;
}

}  // namespace ridgehold::soak
