#include "http-server.h"
#include "clock.h"
#include "constants.h"
#include "rate-limiter.h"
#include "server-connections.h"
#include "log.h"
#include <libsoup/soup.h>
#include <string.h>

struct KrHttpServer {
  SoupServer *soup;
  GSocketListener *listener;
  GCancellable *cancel;
  KrHttpHandler handler;
  gpointer data;
  KrServerConnections *connections;
  guint idle_s;
  guint check_timer, room_timer;
  gboolean accept_paused; /* until a connection is closed */
  gint64 paused_since;    /* monotonic us; valid while accept_paused */
  guint64 accept_pauses;
  gint64 paused_us; /* length of all earlier pauses */
};

struct KrRequest {
  SoupServerMessage *message;
  char *path;
  json_t *json;
  char *json_error; /* why `json` is NULL */
  gsize body_bytes;
  gboolean disconnected; /* the connection was closed before the answer */
};

static void accept_next (KrHttpServer *server);
static void make_room (KrHttpServer *server);

static void
request_finished (SoupServerMessage *message, gpointer data)
{
  ((KrRequest *) data)->disconnected = TRUE;
}

static void
parse_body (KrRequest *request, SoupMessageBody *body)
{
  request->body_bytes = (gsize) body->length;
  if (body->length == 0 || body->length > KR_BODY_MAX_BYTES) {
    request->json_error = g_strdup ("no body");
    return;
  }
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  request->json = kr_json_decode (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes),
                                  &request->json_error);
}

static void
note_request_read (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  if (socket)
    kr_server_connections_request_read (socket);
}

static void
handle_request (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
                gpointer data)
{
  KrHttpServer *server = data;
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  if (!soup_message_body_get_accumulate (body))
    return; /* answered already by reject_too_large */
  note_request_read (message);
  KrRequest *request = g_new0 (KrRequest, 1);
  request->message = g_object_ref (message);
  request->path = g_strdup (path);
  parse_body (request, body);
  g_signal_connect (message, "finished", G_CALLBACK (request_finished), request);
  soup_server_message_pause (message);
  server->handler (request, server->data);
}

/* Answers a request whose body exceeds the limit, without reading the rest of the body. None of the
 * body is kept, and the connection is closed after the answer. */
static void
reject_too_large (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  soup_server_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, NULL);
  if (socket)
    g_socket_shutdown (socket, TRUE, FALSE, NULL);
}

/* Limits chunked bodies, whose length is not known in advance. */
static void
check_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  if (body->length <= KR_BODY_MAX_BYTES || !soup_message_body_get_accumulate (body))
    return;
  soup_message_body_truncate (body);
  reject_too_large (message);
}

static void
check_content_length (SoupServer *soup, SoupServerMessage *message, const char *path,
                      GHashTable *query, gpointer data)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  if (soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length (headers) > KR_BODY_MAX_BYTES)
    reject_too_large (message);
  else
    g_signal_connect (message, "got-chunk", G_CALLBACK (check_chunk), NULL);
}

static void
place_freed (gpointer data, gpointer unused)
{
  KrHttpServer *server = data;
  if (server->accept_paused && !kr_server_connections_are_full (server->connections)) {
    server->accept_paused = FALSE;
    server->paused_us += kr_now () - server->paused_since;
    accept_next (server);
  }
}

static gboolean
retry_accept (gpointer data)
{
  accept_next (data);
  return G_SOURCE_REMOVE;
}

static void
serve_connection (KrHttpServer *server, GSocketConnection *connection)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);

  /* The peer reset the connection before it was accepted. libsoup needs both addresses. */
  if (!local || !remote) {
    kr_debug ("http: a connection was closed before it was accepted");
    return;
  }
  g_socket_set_timeout (g_socket_connection_get_socket (connection), server->idle_s);
  kr_server_connections_add (server->connections, connection);
  if (!soup_server_accept_iostream (server->soup, G_IO_STREAM (connection), local, remote, &error))
    kr_debug ("http: a connection was refused: %s", error->message);
}

static void
accept_done (GObject *source, GAsyncResult *result, gpointer data)
{
  KrHttpServer *server = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) connection =
      g_socket_listener_accept_finish (G_SOCKET_LISTENER (source), result, NULL, &error);

  if (!connection) {
    if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
      kr_timer_add (KR_ACCEPT_RETRY_MS, retry_accept, server);
    return;
  }
  serve_connection (server, connection);
  accept_next (server);
}

static gboolean
retry_make_room (gpointer data)
{
  KrHttpServer *server = data;
  server->room_timer = 0;
  if (server->accept_paused)
    make_room (server);
  return G_SOURCE_REMOVE;
}

/* Closes a connection without a whole request, or looks again when one has had its time. */
static void
make_room (KrHttpServer *server)
{
  if (!kr_server_connections_make_room (server->connections) && !server->room_timer)
    server->room_timer = kr_timer_add (KR_REQUEST_READ_MIN_MS, retry_make_room, server);
}

/* Limits the number of connections. While all are in use, further ones wait in the kernel's short
 * backlog, so that the load balancer turns to other nodes, and those without a whole request make
 * room. */
static void
accept_next (KrHttpServer *server)
{
  if (kr_server_connections_are_full (server->connections)) {
    server->accept_paused = TRUE;
    server->paused_since = kr_now ();
    server->accept_pauses++;
    make_room (server);
  } else
    g_socket_listener_accept_async (server->listener, server->cancel, accept_done, server);
}

static gboolean
check_connections (gpointer data)
{
  kr_server_connections_close_late (((KrHttpServer *) data)->connections);
  return G_SOURCE_CONTINUE;
}

KrHttpServer *
kr_http_server_new (const char *address, guint conns, guint idle_s, GCancellable *cancel,
                    KrHttpHandler handler, gpointer data, GError **error)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, colon - address);
  g_autoptr (GSocketAddress) socket_address =
      g_inet_socket_address_new_from_string (host, atoi (colon + 1));
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();

  g_socket_listener_set_backlog (listener, (int) MIN (conns, KR_ACCEPT_BACKLOG_MAX));
  if (!socket_address ||
      !g_socket_listener_add_address (listener, socket_address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error)) {
    g_prefix_error (error, "cannot listen on %s: ", address);
    return NULL;
  }
  KrHttpServer *server = g_new0 (KrHttpServer, 1);
  server->soup = soup_server_new (NULL, NULL);
  soup_server_remove_websocket_extension (server->soup, SOUP_TYPE_WEBSOCKET_EXTENSION);
  soup_server_add_early_handler (server->soup, NULL, check_content_length, server, NULL);
  soup_server_add_handler (server->soup, NULL, handle_request, server, NULL);
  server->listener = g_steal_pointer (&listener);
  server->cancel = kr_cancellable_new_child (cancel);
  server->handler = handler;
  server->data = data;
  server->connections = kr_server_connections_new (conns, place_freed, server);
  server->idle_s = idle_s;
  server->check_timer = kr_timer_add (KR_REQUEST_CHECK_MS, check_connections, server);
  accept_next (server);
  return server;
}

void
kr_http_server_free (KrHttpServer *server)
{
  g_cancellable_cancel (server->cancel);
  kr_timer_clear (&server->check_timer);
  kr_timer_clear (&server->room_timer);
  g_socket_listener_close (server->listener);
  soup_server_disconnect (server->soup);
  g_object_unref (server->soup);
  g_object_unref (server->listener);
  g_object_unref (server->cancel);
  /* The struct is not freed, as callbacks of connections that end later use it. A process has two
   * servers. */
}

KrHttpServerStats
kr_http_server_stats (const KrHttpServer *server)
{
  gint64 paused_us =
      server->paused_us + (server->accept_paused ? kr_now () - server->paused_since : 0);
  KrServerConnectionsStats connections = kr_server_connections_stats (server->connections);
  return (KrHttpServerStats){ connections.open,        connections.limit,
                              server->accept_pauses,   (double) paused_us / G_USEC_PER_SEC,
                              connections.closed_late, connections.closed_for_room };
}

const char *
kr_request_method (KrRequest *request)
{
  return soup_server_message_get_method (request->message);
}

const char *
kr_request_path (KrRequest *request)
{
  return request->path;
}

const char *
kr_request_query (KrRequest *request)
{
  return g_uri_get_query (soup_server_message_get_uri (request->message));
}

json_t *
kr_request_json (KrRequest *request)
{
  return request->json;
}

void
kr_request_discard_json (KrRequest *request)
{
  g_clear_pointer (&request->json, json_decref);
}

const char *
kr_request_json_error (KrRequest *request)
{
  return request->json_error;
}

gsize
kr_request_body_bytes (KrRequest *request)
{
  return request->body_bytes;
}

gboolean
kr_request_disconnected (KrRequest *request)
{
  return request->disconnected;
}

void
kr_request_reply (KrRequest *request, guint status, json_t *body, guint retry_after_s)
{
  if (!request->disconnected) {
    char *text = body ? kr_json_encode (body) : g_strdup ("{}");
    if (retry_after_s) {
      g_autofree char *seconds = g_strdup_printf ("%u", retry_after_s);
      soup_message_headers_replace (soup_server_message_get_response_headers (request->message),
                                    "Retry-After", seconds);
    }
    soup_server_message_set_status (request->message, status, NULL);
    soup_server_message_set_response (request->message, "application/json", SOUP_MEMORY_TAKE, text,
                                      strlen (text));
    soup_server_message_unpause (request->message);
  }
  g_signal_handlers_disconnect_by_data (request->message, request);
  json_decref (body);
  json_decref (request->json);
  g_object_unref (request->message);
  g_free (request->path);
  g_free (request->json_error);
  g_free (request);
}
