// A small HTTP/1.1 server and client over blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    bool isDropped = false; // the connection is closed without an answer
    bool isSilent = false;  // the connection stays open without an answer
};

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Reads one message. Returns false when the connection ends first or the time is over.
inline bool readMessage(int socket, std::string &buffer, std::string &head, std::string &body, Clock::time_point until)
{
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    for (;;) {
        if (end == std::string::npos) {
            end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                head = buffer.substr(0, end + 2);
                const std::string lower = lowerCase(head);
                const std::size_t field = lower.find("\r\ncontent-length:");
                length = field == std::string::npos ? 0 : std::stoul(lower.substr(field + 17));
            }
        }
        if (end != std::string::npos && buffer.size() >= end + 4 + length) {
            body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return true;
        }
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd waited{socket, POLLIN, 0};
        if (left <= 0 || poll(&waited, 1, static_cast<int>(std::min<long>(left, 100000))) <= 0)
            return false;
        char data[16384];
        const ssize_t count = recv(socket, data, sizeof data, 0);
        if (count <= 0)
            return false;
        buffer.append(data, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    ~HttpServer()
    {
        stop();
        while (m_active > 0)
            std::this_thread::sleep_for(Ms(1));
    }

    bool start(const std::string &address, Handler handler)
    {
        m_handler = std::move(handler);
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in name = socketAddress(address);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
            || listen(m_listener, 512) != 0) {
            close(m_listener);
            m_listener = -1;
            return false;
        }
        m_stopping = false;
        m_acceptor = std::thread([this] { accept(); });
        return true;
    }

    // As the end of a process: connections are reset, and nothing listens any more.
    void stop()
    {
        if (m_listener < 0)
            return;
        m_stopping = true; // calls in progress end later and can send no answer
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        m_listener = -1;
        const std::lock_guard lock(m_mutex);
        for (const int connection : m_connections)
            shutdown(connection, SHUT_RDWR);
    }

    // As a loss of power: open connections fall silent, and are reset when more arrives on them after the return.
    void loseConnections() { ++m_life; }

private:
    void accept()
    {
        while (!m_stopping) {
            const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            const int on = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++m_active;
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(connection);
            }
            std::thread([this, connection] { serve(connection); }).detach();
        }
    }

    void serve(int connection)
    {
        const int life = m_life;
        std::string buffer;
        std::string head;
        std::string body;
        while (!m_stopping && readMessage(connection, buffer, head, body, Clock::now() + std::chrono::hours(1))
               && life == m_life) {
            const Response response = m_handler(parse(head, body));
            if (response.isSilent || life != m_life)
                waitForClose(connection);
            if (m_stopping || response.isDropped || response.isSilent || life != m_life)
                break;
            if (!sendAll(connection,
                         "HTTP/1.1 " + std::to_string(response.status)
                                 + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        }
        const linger reset{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(connection);
        --m_active;
    }

    void waitForClose(int connection) const
    {
        pollfd waited{connection, POLLIN | POLLRDHUP, 0};
        while (!m_stopping && poll(&waited, 1, 20) <= 0)
            continue;
    }

    static Request parse(const std::string &head, const std::string &body)
    {
        Request request;
        request.body = body;
        const std::size_t space = head.find(' ');
        const std::size_t second = head.find(' ', space + 1);
        request.method = head.substr(0, space);
        std::string target = head.substr(space + 1, second - space - 1);
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        for (std::size_t at = mark; at != std::string::npos;) {
            const std::size_t next = target.find('&', at + 1);
            const std::string field = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const std::size_t equals = field.find('=');
            request.query[field.substr(0, equals)] = equals == std::string::npos ? "" : field.substr(equals + 1);
            at = next;
        }
        for (std::size_t line = head.find("\r\n"); line != std::string::npos && line + 2 < head.size();) {
            const std::size_t next = head.find("\r\n", line + 2);
            const std::string text = head.substr(line + 2, next - line - 2);
            const std::size_t colon = text.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = text.find_first_not_of(' ', colon + 1);
                request.headers[lowerCase(text.substr(0, colon))] =
                        value == std::string::npos ? "" : text.substr(value);
            }
            line = next;
        }
        return request;
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_active = 0;
    std::atomic<int> m_life = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

struct Answer
{
    int status = 0; // 0: none
    std::string head;
    std::string body;
};

// Sends one request over a connection of its own.
inline Answer send(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &headers, const std::string &body, std::int64_t timeoutMs)
{
    const auto until = Clock::now() + Ms(timeoutMs);
    Answer answer;
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = socketAddress(address);
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0) {
        const std::string request = method + " " + path + " HTTP/1.1\r\n" + headers
                + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body;
        std::string buffer;
        if (sendAll(connection, request) && readMessage(connection, buffer, answer.head, answer.body, until)
            && answer.head.size() > 12)
            answer.status = std::stoi(answer.head.substr(9, 3));
    }
    close(connection);
    return answer;
}

} // namespace review
