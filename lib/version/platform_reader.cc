#include "wisteriarill/version/platform_reader.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>
#include <istream>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

using Poco::Net::HTTPResponse;

struct PlatformValue {
  bool changed = false;
  std::uint64_t revision = 0;
  microseconds age{};
  std::string bytes;
};

Error PlatformError(ErrorKind kind, const std::string& what) {
  return MakeError(kind, "platform: " + what,
                   "the last good version stays in force; check the platform");
}

// Reads the stream to its end. Returns std::nullopt if it has more than
// `max_size` bytes.
std::optional<std::string> ReadBounded(std::istream& stream,
                                       std::size_t max_size) {
  std::string bytes;
  std::array<char, 16384> piece;
  while (stream.good()) {
    stream.read(piece.data(), piece.size());
    bytes.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
    if (bytes.size() > max_size) return std::nullopt;
  }
  return bytes;
}

std::uint64_t NumberHeader(const HTTPResponse& response,
                           const std::string& name) {
  Poco::UInt64 number = 0;
  Poco::NumberParser::tryParseUnsigned64(response.get(name, "0"), number);
  return number;
}

class HttpPlatformReader : public PlatformReader {
 public:
  HttpPlatformReader(const std::string& address, microseconds timeout)
      : timeout_(timeout), session_(Poco::Net::SocketAddress(address)) {
    session_.setKeepAlive(true);
  }

  Result<ManifestRead> ReadManifest(std::uint64_t after,
                                    microseconds wait) override {
    const std::string query = "?after=" + std::to_string(after) +
                              "&wait_ms=" + std::to_string(ToMillis(wait));
    Result<PlatformValue> value = Read("manifest" + query, wait);
    if (!value) return value.error();
    PlatformValue& read = value.value();
    return ManifestRead{read.changed, read.revision, read.age,
                        std::move(read.bytes)};
  }

  Result<std::string> ReadChunk(const std::string& digest) override {
    Result<PlatformValue> value =
        Read("chunks/" + ToHex(digest), microseconds(0));
    if (!value) return value.error();
    if (Sha256(value.value().bytes) != digest) {
      return PlatformError(ErrorKind::kInvalidRelease,
                           "chunk does not match its digest");
    }
    return std::move(value).value().bytes;
  }

  Result<VmList> ReadVmList() override {
    Result<PlatformValue> value = Read("vms", microseconds(0));
    if (!value) return value.error();
    return ParseVmList(value.value().revision, value.value().bytes);
  }

 private:
  Result<PlatformValue> Read(const std::string& path, microseconds wait) {
    try {
      return ReadOnce(path, wait);
    } catch (const Poco::TimeoutException&) {
      session_.reset();
      return PlatformError(ErrorKind::kTimeout, "the read timed out");
    } catch (const std::exception& error) {
      session_.reset();
      return PlatformError(ErrorKind::kUnavailable, error.what());
    }
  }

  Result<PlatformValue> ReadOnce(const std::string& path, microseconds wait) {
    session_.setTimeout(Poco::Timespan((timeout_ + wait).count()));
    Poco::Net::HTTPRequest request("GET", "/v1/values/" + path, "HTTP/1.1");
    session_.sendRequest(request);
    HTTPResponse response;
    std::istream& body = session_.receiveResponse(response);
    PlatformValue value;
    value.revision = NumberHeader(response, "Platform-Revision");
    value.age = milliseconds(NumberHeader(response, "Platform-Age-Ms"));
    std::optional<std::string> bytes = ReadBounded(body, kMaxValueSize);
    if (!bytes.has_value()) {
      session_.reset();
      return PlatformError(ErrorKind::kTooLarge, "value exceeds 1 MB");
    }
    if (response.getStatus() == HTTPResponse::HTTP_NO_CONTENT) return value;
    if (response.getStatus() == HTTPResponse::HTTP_NOT_FOUND) {
      return PlatformError(ErrorKind::kNotFound, path + " is not published");
    }
    if (response.getStatus() != HTTPResponse::HTTP_OK) {
      return PlatformError(
          ErrorKind::kRefused,
          "status " + std::to_string(static_cast<int>(response.getStatus())));
    }
    const auto announced = response.getContentLength64();
    if (announced >= 0 &&
        static_cast<std::size_t>(announced) != bytes->size()) {
      session_.reset();
      return PlatformError(ErrorKind::kBroken, "the response is truncated");
    }
    value.changed = true;
    value.bytes = std::move(*bytes);
    return value;
  }

  const microseconds timeout_;
  Poco::Net::HTTPClientSession session_;
};

}  // namespace

std::unique_ptr<PlatformReader> MakeHttpPlatformReader(
    const std::string& address, microseconds timeout) {
  return std::make_unique<HttpPlatformReader>(address, timeout);
}

Result<VmList> ParseVmList(std::uint64_t revision, const std::string& json) {
  try {
    VmList list;
    list.revision = revision;
    Poco::JSON::Parser parser;
    const auto array = parser.parse(json).extract<Poco::JSON::Array::Ptr>();
    for (std::size_t i = 0; i < array->size(); ++i) {
      const auto vm = array->getObject(static_cast<unsigned>(i));
      if (vm.isNull()) {
        return PlatformError(ErrorKind::kMalformedMessage,
                             "VM list has an element that is not an object");
      }
      const auto name = vm->getValue<std::string>("name");
      list.listed.insert(name);
      if (vm->getValue<std::string>("state") == "leaving") {
        list.leaving.push_back(name);
      }
    }
    return list;
  } catch (const std::exception& error) {
    return PlatformError(ErrorKind::kMalformedMessage,
                         std::string("VM list: ") + error.what());
  }
}

}  // namespace wisteriarill
