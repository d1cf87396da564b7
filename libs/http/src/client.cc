#include "http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ridgehold {
namespace {

constexpr int kPollMs = 1'000;
constexpr long kMaxKeptConnections = 512;
constexpr long kAnyByte = 1;

// libcurl adds these to large bodies and then waits for a `100 Continue`.
constexpr char kNoExpect[] = "Expect:";

/// Whether `headers` name the transfer coding `chunked`, which libcurl decodes.
bool HasChunks(const Headers& headers) {
  for (const HeaderField& field : headers.fields()) {
    if (!SameHeaderName(field.name, "Transfer-Encoding")) continue;
    std::string_view codings = field.value;
    while (!codings.empty()) {
      const std::size_t end = std::min(codings.find(','), codings.size());
      std::string_view coding = codings.substr(0, end);
      while (!coding.empty() && std::isspace(static_cast<unsigned char>(coding.front())) != 0) {
        coding.remove_prefix(1);
      }
      while (!coding.empty() && std::isspace(static_cast<unsigned char>(coding.back())) != 0) {
        coding.remove_suffix(1);
      }
      if (SameHeaderName(coding, "chunked")) return true;
      codings.remove_prefix(std::min(end + 1, codings.size()));
    }
  }
  return false;
}

/// Whether `name` can be the name of a header field (RFC 9110, section 5.6.2). The first byte of a
/// folded line is a blank.
bool IsToken(std::string_view name) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const auto is_token = [&](unsigned char c) {
    return (c < 0x80 && std::isalnum(c) != 0) || kMarks.find(static_cast<char>(c)) != kMarks.npos;
  };
  return !name.empty() && std::ranges::all_of(name, is_token);
}

class CurlTransfer;

/// What other threads ask of the loop.
struct LoopRequest {
  enum class Kind { kAdd, kCancel, kResume } kind;
  std::shared_ptr<CurlTransfer> transfer;
};

/// Requests on their way to the loop; outlives the client for late calls.
struct Mailbox {
  std::mutex mutex;
  std::vector<LoopRequest> requests;
  CURLM* multi = nullptr;  // null once the loop has stopped

  bool Post(LoopRequest request) {
    const std::lock_guard lock(mutex);
    if (multi == nullptr) return false;
    requests.push_back(std::move(request));
    curl_multi_wakeup(multi);
    return true;
  }
};

class CurlTransfer final : public Transfer, public std::enable_shared_from_this<CurlTransfer> {
 public:
  CurlTransfer(HttpCall call, TransferCallbacks callbacks, std::shared_ptr<Mailbox> mailbox)
      : call_(std::move(call)),
        callbacks_(std::move(callbacks)),
        mailbox_(std::move(mailbox)),
        easy_(curl_easy_init()) {}

  ~CurlTransfer() override {
    curl_slist_free_all(header_list_);
    curl_easy_cleanup(easy_);
  }

  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  void Cancel() override { mailbox_->Post({LoopRequest::Kind::kCancel, shared_from_this()}); }

  void Resume() override { mailbox_->Post({LoopRequest::Kind::kResume, shared_from_this()}); }

  CURL* easy() const { return easy_; }

  void Prepare() {
    SetTarget();
    SetHeaders();
    SetTimeouts();
    SetCallbacks();
  }

  /// Tells the owner the end, once.
  void Finish(const TransferEnd& end) {
    if (std::exchange(finished_, true)) return;
    callbacks_.on_end(end);
    callbacks_ = {};  // breaks ownership cycles between session and transfer
  }

  /// Judges libcurl's code by whether the request can have been sent.
  TransferEnd Judge(CURLcode code) const {
    if (code == CURLE_OK) return JudgeResponse();
    const std::string detail = curl_easy_strerror(code);
    if (code == CURLE_OPERATION_TIMEDOUT) {
      return {Connected() ? TransferOutcome::kTimedOut : TransferOutcome::kNotSent, detail};
    }
    // Also the codes of failed connects do not prove it: libcurl gives one of them for a response
    // without a status line, and another when it sends a request again over a new connection.
    const bool could_not_connect =
        code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
    const bool not_sent = could_not_connect && !Connected();
    return {not_sent ? TransferOutcome::kNotSent : TransferOutcome::kBroken, detail};
  }

 private:
  /// For libcurl a response is a success as soon as its status line is whole.
  TransferEnd JudgeResponse() const {
    if (!head_complete_) return {TransferOutcome::kBroken, "connection closed in the head"};
    if (EndsWithConnection()) {
      return {TransferOutcome::kBroken, "body with neither length nor chunks"};
    }
    return {TransferOutcome::kComplete, ""};
  }

  /// Whether only the end of the connection ends the body. The kernel of a killed process sends the
  /// same end.
  bool EndsWithConnection() const {
    constexpr long kNoContent = 204;
    constexpr long kNotModified = 304;
    long status = 0;
    long version = 0;
    curl_off_t length = -1;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy_, CURLINFO_HTTP_VERSION, &version);
    curl_easy_getinfo(easy_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    const bool has_no_body =
        call_.method == "HEAD" || status == kNoContent || status == kNotModified;
    const bool has_frames = version >= CURL_HTTP_VERSION_2_0;
    return !has_no_body && !has_frames && !chunked_ && length < 0;
  }

  bool Connected() const {
    curl_off_t sent = 0;
    curl_off_t connect_us = 0;
    long request_bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
    curl_easy_getinfo(easy_, CURLINFO_PRETRANSFER_TIME_T, &connect_us);
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &request_bytes);
    return sent > 0 || connect_us > 0 || request_bytes > 0;
  }

  void SetTarget() {
    curl_easy_setopt(easy_, CURLOPT_URL, call_.url.c_str());
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    if (call_.method == "HEAD") {
      curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    } else {
      if (!call_.body.empty() || call_.method == "POST" || call_.method == "PUT") {
        curl_easy_setopt(easy_, CURLOPT_POST, 1L);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, call_.body.data());
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call_.body.size()));
      }
      curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
    }
    if (call_.fresh_connection) {
      curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  void SetHeaders() {
    header_list_ = curl_slist_append(header_list_, kNoExpect);
    for (const HeaderField& field : call_.headers.fields()) {
      header_list_ = curl_slist_append(header_list_, (field.name + ": " + field.value).c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
  }

  void SetTimeouts() {
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call_.connect_timeout.count()));
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(call_.total_timeout.count()));
    if (call_.idle_timeout.count() > 0) {
      curl_easy_setopt(easy_, CURLOPT_LOW_SPEED_LIMIT, kAnyByte);
      curl_easy_setopt(easy_, CURLOPT_LOW_SPEED_TIME,
                       static_cast<long>(call_.idle_timeout.count()));
    }
  }

  void SetCallbacks() {
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  }

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self) {
    auto* transfer = static_cast<CurlTransfer*>(self);
    transfer->TakeHeaderLine({data, size * count});
    // Any other number ends the transfer.
    return transfer->malformed_ ? 0 : size * count;
  }

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self) {
    const auto* transfer = static_cast<CurlTransfer*>(self);
    const std::string_view bytes(data, size * count);
    if (!transfer->callbacks_.on_body || transfer->callbacks_.on_body(bytes)) return bytes.size();
    return CURL_WRITEFUNC_PAUSE;
  }

  void TakeHeaderLine(std::string_view line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.remove_suffix(1);
    // What libcurl passes on after the head are trailers.
    if (head_complete_) return;
    if (line.starts_with("HTTP/")) {
      headers_ = {};
      return;
    }
    if (line.empty()) {
      ReportHead();
      return;
    }
    const std::size_t colon = line.find(':');
    if (!IsToken(line.substr(0, colon)) || colon == std::string_view::npos) {
      malformed_ = true;
      return;
    }
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    headers_.Add(std::string(line.substr(0, colon)), std::string(value));
  }

  /// Whether another response follows such a head. None does after a protocol was switched, and an
  /// interim response has no body.
  bool IsInterimHead(long status) const {
    constexpr long kFirstStatus = 100;
    constexpr long kSwitchingProtocols = 101;
    const auto has = [this](const char* name) { return !headers_.Get(name).empty(); };
    return status >= kFirstStatus && status != kSwitchingProtocols && !has("Content-Length") &&
           !has("Transfer-Encoding");
  }

  void ReportHead() {
    constexpr long kFirstFinalStatus = 200;
    constexpr long kLastStatus = 599;
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    if (status < kFirstFinalStatus) {
      malformed_ = malformed_ || !IsInterimHead(status);
      return;
    }
    malformed_ = malformed_ || status > kLastStatus;
    if (malformed_) return;
    head_complete_ = true;
    chunked_ = HasChunks(headers_);
    if (!callbacks_.on_head) return;
    callbacks_.on_head(static_cast<int>(status), headers_);
  }

  HttpCall call_;
  TransferCallbacks callbacks_;
  std::shared_ptr<Mailbox> mailbox_;
  CURL* easy_;
  curl_slist* header_list_ = nullptr;
  Headers headers_;
  bool head_complete_ = false;  ///< the blank line that ends the final head has come
  bool malformed_ = false;      ///< a head that no server may send, which libcurl accepts
  bool chunked_ = false;
  bool finished_ = false;
};

}  // namespace

struct HttpClient::Impl {
  CURLM* multi = nullptr;
  std::shared_ptr<Mailbox> mailbox = std::make_shared<Mailbox>();
  std::unordered_map<CURL*, std::shared_ptr<CurlTransfer>> running;
  std::atomic<bool> stopping{false};
  std::thread loop;

  void Run() {
    while (!stopping.load()) {
      TakeRequests();
      int still_running = 0;
      curl_multi_perform(multi, &still_running);
      CollectEnded();
      curl_multi_poll(multi, nullptr, 0, kPollMs, nullptr);
    }
    CancelAll();
  }

  void TakeRequests() {
    std::vector<LoopRequest> requests;
    {
      const std::lock_guard lock(mailbox->mutex);
      requests.swap(mailbox->requests);
    }
    for (const LoopRequest& request : requests) Serve(request);
  }

  void Serve(const LoopRequest& request) {
    CURL* easy = request.transfer->easy();
    switch (request.kind) {
      case LoopRequest::Kind::kAdd:
        request.transfer->Prepare();
        running.emplace(easy, request.transfer);
        curl_multi_add_handle(multi, easy);
        break;
      case LoopRequest::Kind::kCancel:
        if (Remove(easy)) request.transfer->Finish({TransferOutcome::kCancelled, "cancelled"});
        break;
      case LoopRequest::Kind::kResume:
        if (running.contains(easy)) curl_easy_pause(easy, CURLPAUSE_CONT);
        break;
    }
  }

  bool Remove(CURL* easy) {
    if (running.erase(easy) == 0) return false;
    curl_multi_remove_handle(multi, easy);
    return true;
  }

  void CollectEnded() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      const auto found = running.find(message->easy_handle);
      if (found == running.end()) continue;
      const std::shared_ptr<CurlTransfer> transfer = found->second;
      const TransferEnd end = transfer->Judge(code);
      Remove(transfer->easy());
      transfer->Finish(end);
    }
  }

  void CancelAll() {
    {
      const std::lock_guard lock(mailbox->mutex);
      mailbox->multi = nullptr;
    }
    TakeRequests();
    const auto left = std::exchange(running, {});
    for (const auto& [easy, transfer] : left) {
      curl_multi_remove_handle(multi, easy);
      transfer->Finish({TransferOutcome::kCancelled, "client stopped"});
    }
  }
};

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Result<std::unique_ptr<HttpClient>> HttpClient::Create() {
  static const CURLcode ready = curl_global_init(CURL_GLOBAL_ALL);
  auto impl = std::make_unique<Impl>();
  impl->multi = curl_multi_init();
  if (ready != CURLE_OK || impl->multi == nullptr) {
    return Fail(ResultCode::kInternal, "libcurl does not start");
  }
  curl_multi_setopt(impl->multi, CURLMOPT_MAXCONNECTS, kMaxKeptConnections);
  impl->mailbox->multi = impl->multi;
  impl->loop = std::thread([raw = impl.get()] { raw->Run(); });
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::~HttpClient() {
  impl_->stopping.store(true);
  curl_multi_wakeup(impl_->multi);
  impl_->loop.join();
  curl_multi_cleanup(impl_->multi);
}

std::shared_ptr<Transfer> HttpClient::Start(HttpCall call, TransferCallbacks callbacks) {
  auto transfer =
      std::make_shared<CurlTransfer>(std::move(call), std::move(callbacks), impl_->mailbox);
  if (!impl_->mailbox->Post({LoopRequest::Kind::kAdd, transfer})) {
    transfer->Finish({TransferOutcome::kNotSent, "client stopped"});
  }
  return transfer;
}

Result<HttpAnswer> HttpClient::Fetch(HttpCall call) {
  auto answer = std::make_shared<HttpAnswer>();
  auto ended = std::make_shared<std::promise<TransferEnd>>();
  std::future<TransferEnd> future = ended->get_future();
  const std::string target = call.method + " " + call.url;
  Start(std::move(call), {.on_head =
                              [answer](int status, const Headers& headers) {
                                answer->status = status;
                                answer->headers = headers;
                              },
                          .on_body =
                              [answer](std::string_view bytes) {
                                answer->body += bytes;
                                return true;
                              },
                          .on_end = [ended](const TransferEnd& end) { ended->set_value(end); }});
  const TransferEnd end = future.get();
  const std::string detail = target + ": " + end.detail;
  switch (end.outcome) {
    case TransferOutcome::kComplete:
      return std::move(*answer);
    case TransferOutcome::kNotSent:
      return Fail(ResultCode::kBackendUnreachable, detail);
    case TransferOutcome::kTimedOut:
      return Fail(ResultCode::kBackendTimeout, detail);
    case TransferOutcome::kBroken:
    case TransferOutcome::kCancelled:
      break;
  }
  return Fail(ResultCode::kBackendBroken, detail);
}

}  // namespace ridgehold
