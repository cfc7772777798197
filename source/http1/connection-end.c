#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "cardamom/connection-end.h"
#include "cardamom/event.h"

cs_connection_end_t
cs_connection_end_of (const uv_tcp_t *tcp, int read_status)
{
  cs_connection_end_t end = { .read_status = read_status,
                              .tcp_state = -1,
                              .unwritten = tcp->write_queue_size };
  struct tcp_info info;
  socklen_t info_len = sizeof info, error_len = sizeof end.socket_error;
  int fd;
  if (uv_fileno ((const uv_handle_t *)tcp, &fd) != 0)
    return end;
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &end.socket_error, &error_len);
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_len) == 0)
    end.tcp_state = info.tcpi_state;
  return end;
}

bool
cs_connection_end_is_orderly (const cs_connection_end_t *end)
{
  return end->read_status == UV_EOF && !end->socket_error
         && end->tcp_state == TCP_CLOSE_WAIT;
}

void
cs_connection_end_log (const cs_connection_end_t *end,
                       const struct sockaddr_in *address, size_t received,
                       bool close_delimited)
{
  cs_event_log (CS_E_CONNECTION_END,
                "port=%u read=%s socket_error=%s tcp_state=%d unwritten=%zu "
                "received=%zu close_delimited=%d",
                ntohs (address->sin_port), uv_err_name (end->read_status),
                end->socket_error ? uv_err_name (-end->socket_error) : "none",
                end->tcp_state, end->unwritten, received, close_delimited);
}
