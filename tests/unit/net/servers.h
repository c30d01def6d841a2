// Servers and requests that several tests share.
#pragma once

#include "net/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cassert>
#include <future>
#include <thread>

namespace clementinelift::net {

inline std::string makeUrl(std::uint16_t port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

inline HttpResult exchange(HttpClient &client, HttpClientRequest request)
{
    std::promise<HttpResult> promise;
    client.send(std::move(request), [&](HttpResult &&result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

// A connected socket on the loopback address; the caller closes it.
inline int connectTo(std::uint16_t port)
{
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    [[maybe_unused]] const int connected = connect(client, reinterpret_cast<sockaddr *>(&address), sizeof address);
    assert(connected == 0);
    return client;
}

// Accepts connections one after the other and closes each of them instead of answering.
class ClosingServer
{
public:
    ClosingServer()
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        [[maybe_unused]] const int bound = bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
        assert(bound == 0);
        socklen_t size = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~ClosingServer()
    {
        shutdown(m_socket, SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
        close(m_socket);
    }
    // Answers the first firstAnswers requests of a connection, then closes the connection when
    // the next request arrives.
    void run(int firstAnswers)
    {
        [[maybe_unused]] const int listening = listen(m_socket, 16);
        assert(listening == 0);
        m_thread = std::thread([this, firstAnswers] { serve(firstAnswers); });
    }

    std::uint16_t port = 0;
    std::atomic<int> requests = 0;
    std::atomic<int> connections = 0;

private:
    void serve(int answers)
    {
        for (;;) {
            const int connection = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            ++connections;
            char buffer[4096];
            while (recv(connection, buffer, sizeof buffer, 0) > 0) {
                ++requests;
                if (answers-- <= 0)
                    break;
                const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }

    int m_socket = -1;
    std::thread m_thread;
};

} // namespace clementinelift::net
