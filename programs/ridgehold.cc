// ridgehold: command-line tool for operators.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "base/result.h"
#include "http/client.h"

namespace {

using nlohmann::json;
using ridgehold::Failure;
using ridgehold::HttpAnswer;
using ridgehold::HttpCall;
using ridgehold::HttpClient;
using ridgehold::Result;
using ridgehold::ResultCode;

constexpr int kHttpOk = 200;
constexpr std::chrono::seconds kTimeout{15};

/// Exit codes, documented in docs/OPERATIONS.md.
enum ExitCode : int {
  kDone = 0,
  kUsage = 2,       // the command is malformed
  kRejected = 3,    // rejected; nothing was changed
  kUnresolved = 4,  // whether the change took effect is not known yet
  kNoResponse = 5,  // no valid response from the daemon
};

struct Options {
  std::string url = "http://127.0.0.1:8081";
  std::string key;
  std::string author = "operator";
  bool as_json = false;
};

/// Quotes a word for the operator language if necessary, since the shell removed its quotes.
std::string Quote(const std::string& word) {
  if (!word.empty() && word.find_first_of(" \t\n\";#\\") == std::string::npos) return word;
  std::string quoted = "\"";
  for (const char c : word) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + "\"";
}

std::string Join(const std::vector<std::string>& words) {
  // A single argument is a complete statement; several are the words of one.
  if (words.size() == 1) return words.front();
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : " ") + Quote(word);
  return text;
}

void PrintTable(const json& table) {
  std::vector<std::vector<std::string>> lines = {table.at("columns")};
  for (const json& row : table.at("rows")) lines.push_back(row);
  std::vector<std::size_t> widths(lines.front().size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  for (const auto& line : lines) {
    std::string text;
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    std::cout << text << "\n";
  }
}

int ExitCodeOf(int code) {
  switch (static_cast<ResultCode>(code)) {
    case ResultCode::kSyntax:
      return kUsage;
    case ResultCode::kUnresolvedChange:
      return kUnresolved;
    default:
      return kRejected;
  }
}

int PrintError(const HttpAnswer& response, bool as_json) {
  if (as_json) std::cout << response.body << "\n";
  const json body = json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) {
    std::cerr << "unexpected HTTP status " << response.status << "\n";
    return kNoResponse;
  }
  const json& error = body["error"];
  const int code = error.value("ridgehold_code", 0);
  std::cerr << code << " " << error.value("code", "") << ": " << error.value("message", "") << "\n";
  return ExitCodeOf(code);
}

int Send(const Options& options, const std::string& method, const std::string& path,
         const std::string& body, bool is_table) {
  return ridgehold::ValueOr(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(client, HttpClient::Create());
        HttpCall call;
        call.method = method;
        call.url = options.url + path;
        call.body = body;
        call.total_timeout = kTimeout;
        call.headers.Add("X-Ridgehold-Author", options.author);
        if (!options.key.empty()) call.headers.Add("Authorization", "Bearer " + options.key);
        BOOST_LEAF_AUTO(response, client->Fetch(std::move(call)));
        if (response.status != kHttpOk) return PrintError(response, options.as_json);
        if (options.as_json || !is_table) {
          std::cout << response.body << "\n";
        } else {
          PrintTable(json::parse(response.body));
        }
        return kDone;
      },
      [](const Failure& failure) {
        std::cerr << failure.detail << "\n";
        return static_cast<int>(kNoResponse);
      });
}

int Apply(const Options& options, const std::string& path, bool dry_run) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot open file\n";
    return kUsage;
  }
  std::ostringstream script;
  script << file.rdbuf();
  return Send(options, "POST", dry_run ? "/v1/command?dry_run=1" : "/v1/command", script.str(),
              true);
}

std::string FromEnvironment(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : fallback;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  options.url = FromEnvironment("RIDGEHOLD_URL", options.url);
  options.key = FromEnvironment("RIDGEHOLD_KEY", "");
  CLI::App app("ridgehold shows and changes the configuration and state of ridgehold daemons");
  app.footer(
      "Instead of a subcommand, a statement of the operator language can be given:\n"
      "  ridgehold show revision\n"
      "  ridgehold at revision 7 change workspace clinics share 4\n"
      "  ridgehold drain backend gpu-3\n"
      "docs/OPERATIONS.md lists all statements. Exit codes: 0 done, 2 malformed command,\n"
      "3 rejected and nothing changed, 4 outcome unknown, 5 no response.");
  app.add_option("--url", options.url, "URL of any daemon's operator listener (RIDGEHOLD_URL)");
  app.add_option("--key", options.key, "operator key (RIDGEHOLD_KEY)");
  app.add_option("--author", options.author, "author recorded with a change");
  app.add_flag("--json", options.as_json, "print the response as JSON");
  app.prefix_command();

  std::string file;
  bool dry_run = false;
  CLI::App* apply = app.add_subcommand("apply", "apply the statements of a file as one change");
  apply->add_option("file", file, "file with one statement per line")->required();
  apply->add_flag("--dry-run", dry_run, "check the statements without applying them");
  CLI::App* dump = app.add_subcommand("dump", "print the daemon's complete state as JSON");
  CLI11_PARSE(app, argc, argv);

  if (apply->parsed()) return Apply(options, file, dry_run);
  if (dump->parsed()) return Send(options, "GET", "/v1/dump", "", false);
  const std::vector<std::string> words = app.remaining();
  if (words.empty()) {
    std::cerr << app.help();
    return kUsage;
  }
  return Send(options, "POST", "/v1/command", Join(words), true);
}
