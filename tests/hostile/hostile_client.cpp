// Opens many connections to one server on loopback and sends what a well-behaved client does not send. For the tests in
// this directory; bounded in connections, bytes and time.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr char usage[] = R"(usage: hostile_client MODE PORT CONNECTIONS BYTES CHUNK
       hostile_client requests PORT CONNECTIONS FILE
  chunked    a body of BYTES in chunks of CHUNK bytes that lacks its last byte
  announced  a header that announces BYTES, and CHUNK bytes of the body
  whole      a chunked body of BYTES in chunks of CHUNK bytes, with its end
  header     a header that grows by one byte every 100 ms
  idle       nothing
  unread     BYTES of GET requests for metrics whose answers are never read
  frame      a WebSocket frame of BYTES that lacks its last byte, before any hello
  requests   the content of FILE, in which ################ is replaced by the number of the connection
Prints the answers by status and "in place" when every connection has sent all it sends, is closed, or 20 s have passed. Keeps the connections open
for 60 s after that or until it is killed.
)";

using Clock = std::chrono::steady_clock;
constexpr auto sendTime = std::chrono::seconds(20);
constexpr auto holdTime = std::chrono::seconds(60);
constexpr auto trickleInterval = std::chrono::milliseconds(100);
constexpr std::size_t maxConnections = 4000;
constexpr std::size_t maxBytesPerTurn = 64u << 10;
constexpr std::string_view numberPlaceholder = "################"; // for 16 hexadecimal digits

// What each connection sends: the head, then bytes of the repeated pattern up to its end.
struct Stream
{
    std::string head;
    std::string pattern;
    std::size_t patternBytes = 0;
    bool trickles = false;                  // one byte in each interval
    bool reads = true;                      // answers are read and discarded
    std::vector<std::size_t> numberOffsets; // of numberPlaceholder in head

    std::size_t size() const { return head.size() + patternBytes; }
};

struct Connection
{
    int socket = -1;
    std::size_t sent = 0;
    bool connected = false;
};

Stream makeStream(std::string_view mode, std::size_t bytes, std::size_t chunk)
{
    const std::string post = "POST /q/00000000000000aa HTTP/1.1\r\nHost: shop.example\r\n";
    Stream stream;
    if (mode == "chunked" || mode == "whole") {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk);
        stream.head = post + "Transfer-Encoding: chunked\r\n\r\n";
        stream.pattern = size + std::string(chunk, 'x') + "\r\n";
        stream.patternBytes = bytes / chunk * stream.pattern.size() - (mode == "whole" ? 0 : 3);
    } else if (mode == "announced") {
        stream.head = post + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(chunk, 'x');
    } else if (mode == "header") {
        stream.head = post + "X-Slow: ";
        stream.pattern = "x";
        stream.patternBytes = 16000;
        stream.trickles = true;
    } else if (mode == "unread") {
        stream.pattern = "GET /metrics HTTP/1.1\r\nHost: shop.example\r\n\r\n";
        stream.patternBytes = bytes;
        stream.reads = false;
    } else if (mode == "frame") {
        stream.head = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
        stream.head += "\x82\xff";
        for (int shift = 56; shift >= 0; shift -= 8)
            stream.head += static_cast<char>(bytes >> shift & 0xff);
        stream.head += "mask";
        stream.pattern = std::string(chunk, 'x');
        stream.patternBytes = bytes - 1;
    } else if (mode != "idle") {
        std::fputs(usage, stderr);
        std::exit(2);
    }
    return stream;
}

Stream readRequest(const char *file)
{
    std::ifstream input(file, std::ios::binary);
    Stream stream;
    stream.head.assign(std::istreambuf_iterator<char>(input), {});
    if (stream.head.empty()) {
        std::perror(file);
        std::exit(2);
    }
    for (std::size_t at = stream.head.find(numberPlaceholder); at != std::string::npos;
         at = stream.head.find(numberPlaceholder, at + numberPlaceholder.size()))
        stream.numberOffsets.push_back(at);
    return stream;
}

// Writes the number into part, which begins at the offset of the stream.
void insertNumber(std::string &part, std::size_t offset, const Stream &stream, std::size_t number)
{
    char digits[numberPlaceholder.size() + 1];
    std::snprintf(digits, sizeof digits, "%016zx", number);
    for (const std::size_t begin : stream.numberOffsets) {
        for (std::size_t i = 0; i < numberPlaceholder.size(); ++i) {
            if (begin + i >= offset && begin + i - offset < part.size())
                part[begin + i - offset] = digits[i];
        }
    }
}

void closeConnection(Connection &connection)
{
    close(connection.socket);
    connection.socket = -1;
}

void sendMore(Connection &connection, const Stream &stream, std::size_t number)
{
    std::size_t budget = stream.trickles && connection.sent >= stream.head.size() ? 1 : maxBytesPerTurn;
    while (budget > 0 && connection.sent < stream.size()) {
        std::string_view part = stream.head;
        std::size_t offset = connection.sent;
        if (offset >= stream.head.size()) {
            part = stream.pattern;
            offset = (offset - stream.head.size()) % stream.pattern.size();
        }
        part.remove_prefix(offset);
        std::string joined; // small patterns are sent many at a time
        if (!stream.numberOffsets.empty()) {
            joined = part.substr(0, budget);
            insertNumber(joined, offset, stream, number);
            part = joined;
        } else if (part.size() < budget && !stream.trickles) {
            joined = part;
            while (joined.size() < budget && !stream.pattern.empty())
                joined += stream.pattern;
            part = joined;
        }
        part = part.substr(0, std::min(budget, stream.size() - connection.sent));
        const ssize_t written = send(connection.socket, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0) {
            if (errno != EAGAIN && errno != ENOTCONN && errno != EINTR)
                closeConnection(connection);
            return;
        }
        connection.sent += static_cast<std::size_t>(written);
        budget -= std::min(budget, static_cast<std::size_t>(written));
    }
}

using StatusCounts = std::map<std::string, std::size_t, std::less<>>; // by the three digits

void discardAnswers(Connection &connection, StatusCounts &statuses)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    char buffer[16384];
    const ssize_t size = recv(connection.socket, buffer, sizeof buffer, MSG_DONTWAIT);
    const std::string_view text(buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    if (text.starts_with(version))
        ++statuses[std::string(text.substr(version.size(), 3))];
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
        closeConnection(connection);
}

int openConnection(std::uint16_t port)
{
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (client < 0
        || (connect(client, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS)) {
        std::perror("connect");
        std::exit(2);
    }
    return client;
}

} // namespace

int main(int argc, char **argv)
{
    const bool sendsFile = argc == 5 && argv[1] == std::string_view("requests");
    if (argc != 6 && !sendsFile) {
        std::fputs(usage, stderr);
        return 2;
    }
    const auto count = std::min<std::size_t>(std::strtoul(argv[3], nullptr, 10), maxConnections);
    const auto port = static_cast<std::uint16_t>(std::strtoul(argv[2], nullptr, 10));
    const Stream stream = sendsFile
            ? readRequest(argv[4])
            : makeStream(argv[1], std::strtoul(argv[4], nullptr, 10), std::strtoul(argv[5], nullptr, 10));
    std::vector<Connection> connections(count);
    for (Connection &connection : connections)
        connection.socket = openConnection(port);

    const Clock::time_point start = Clock::now();
    Clock::time_point end = start + sendTime + holdTime;
    Clock::time_point nextTrickle = start;
    bool inPlace = false;
    StatusCounts statuses;
    std::vector<pollfd> sockets(count);
    while (Clock::now() < end) {
        const bool mayTrickle = Clock::now() >= nextTrickle;
        if (mayTrickle)
            nextTrickle = Clock::now() + trickleInterval;
        std::size_t open = 0;
        std::size_t unsent = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const Connection &connection = connections[i];
            const bool sends = connection.sent < stream.size();
            const bool waits = stream.trickles && connection.sent >= stream.head.size();
            short events = stream.reads ? POLLIN : 0;
            if (!connection.connected || (sends && (!waits || mayTrickle)))
                events = static_cast<short>(events | POLLOUT);
            sockets[i] = {connection.socket, events, 0};
            open += connection.socket >= 0 ? 1 : 0;
            unsent += connection.socket >= 0 && (!connection.connected || (sends && !waits)) ? 1 : 0;
        }
        if (!inPlace && (unsent == 0 || Clock::now() >= start + sendTime)) {
            inPlace = true;
            end = Clock::now() + holdTime;
            std::printf("in place open=%zu closed=%zu unsent=%zu", open, count - open, unsent);
            for (const auto &[status, answers] : statuses)
                std::printf(" status_%s=%zu", status.c_str(), answers);
            std::printf("\n");
            std::fflush(stdout);
        }
        poll(sockets.data(), sockets.size(), 20);
        for (std::size_t i = 0; i < count; ++i) {
            if ((sockets[i].revents & POLLIN) != 0)
                discardAnswers(connections[i], statuses);
            if (connections[i].socket >= 0 && (sockets[i].revents & POLLOUT) != 0) {
                connections[i].connected = true;
                sendMore(connections[i], stream, i);
            }
            if (connections[i].socket >= 0 && (sockets[i].revents & (POLLERR | POLLHUP)) != 0)
                closeConnection(connections[i]);
        }
    }
    return 0;
}
