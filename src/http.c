#include "http.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <libsoup/soup.h>
#include <string.h>

/* --- calls --------------------------------------------------------------------------- */
struct KrClient {
  SoupSession *session;
};

typedef struct {
  GCancellable *cancel;
  SoupMessage *message;
  guint timer;
  KrReply reply;
  gpointer data;
} Call;

KrClient *
kr_client_new (guint conns, guint conns_per_host, guint idle_s)
{
  KrClient *c = g_new0 (KrClient, 1);
  c->session =
      soup_session_new_with_options ("max-conns", conns, "max-conns-per-host", conns_per_host,
                                     "idle-timeout", idle_s, "proxy-resolver", NULL, NULL);
  soup_session_remove_feature_by_type (c->session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (c->session, SOUP_TYPE_WEBSOCKET_EXTENSION_MANAGER);
  soup_session_remove_feature_by_type (c->session, SOUP_TYPE_AUTH_MANAGER);
  return c;
}

void
kr_client_free (KrClient *c)
{
  soup_session_abort (c->session);
  g_object_unref (c->session);
  g_free (c);
}

static gboolean
call_late (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  guint status = bytes ? soup_message_get_status (call->message) : 0;
  json_t *body = NULL;

  kr_timer_clear (&call->timer);
  if (bytes && g_bytes_get_size (bytes) > 0)
    body = json_loadb (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), JSON_DECODE_ANY,
                       NULL);
  else if (error)
    kr_debug ("call %s: %s", g_uri_get_path (soup_message_get_uri (call->message)), error->message);
  call->reply (status, body, call->data);
  json_decref (body);
  g_object_unref (call->message);
  g_object_unref (call->cancel);
  g_free (call);
}

static gboolean
call_impossible (gpointer data)
{
  Call *call = data;
  call->reply (0, NULL, call->data);
  g_free (call);
  return G_SOURCE_REMOVE;
}

void
kr_client_call (KrClient *c, const char *method, const char *host, const char *path, json_t *body,
                guint timeout_ms, GCancellable *cancel, KrReply reply, gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", host, path, NULL);
  Call *call = g_new0 (Call, 1);
  call->reply = reply;
  call->data = data;
  call->message = soup_message_new (method, uri);
  if (!call->message) {
    json_decref (body);
    g_idle_add (call_impossible, call);
    return;
  }
  call->cancel = kr_cancellable_child (cancel);
  soup_message_add_flags (call->message, SOUP_MESSAGE_NO_REDIRECT);
  if (body) {
    char *s = json_dumps (body, JSON_COMPACT);
    g_autoptr (GBytes) bytes = g_bytes_new_with_free_func (s, strlen (s), free, s);
    soup_message_set_request_body_from_bytes (call->message, "application/json", bytes);
    json_decref (body);
  }
  call->timer = kr_timer_add (timeout_ms, call_late, call);
  soup_session_send_and_read_async (c->session, call->message, G_PRIORITY_DEFAULT, call->cancel,
                                    call_done, call);
}

/* --- server -------------------------------------------------------------------------- */
struct KrServer {
  SoupServer *soup;
  GSocketListener *listener;
  GCancellable *cancel;
  KrHandler handler;
  gpointer data;
  guint conns, most, idle_s;
  gboolean paused;
};

struct KrRequest {
  SoupServerMessage *message;
  char *path;
  json_t *json;
  gboolean gone;
};

static void accept_next (KrServer *s);

static void
request_finished (SoupServerMessage *message, gpointer data)
{
  ((KrRequest *) data)->gone = TRUE;
}

static void
handle (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
        gpointer data)
{
  KrServer *s = data;
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  if (!soup_message_body_get_accumulate (body))
    return; /* refused already, see too_large */
  KrRequest *r = g_new0 (KrRequest, 1);
  r->message = g_object_ref (message);
  r->path = g_strdup (path);
  if (body->length > 0 && body->length <= KR_BODY_MAX) {
    g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
    r->json = json_loadb (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), 0, NULL);
  }
  g_signal_connect (message, "finished", G_CALLBACK (request_finished), r);
  soup_server_message_pause (message);
  s->handler (r, s->data);
}

/* A body over the limit is refused without being read whole: nothing of it is kept, and the
 * connection is closed behind the answer. */
static void
too_large (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  soup_server_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, NULL);
  if (socket)
    g_socket_shutdown (socket, TRUE, FALSE, NULL);
}

/* Guards against a body of untold length (chunked) that goes on past the limit. */
static void
got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  if (body->length <= KR_BODY_MAX || !soup_message_body_get_accumulate (body))
    return;
  soup_message_body_truncate (body);
  too_large (message);
}

static void
early (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
       gpointer data)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (message);
  if (soup_message_headers_get_encoding (h) == SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length (h) > KR_BODY_MAX)
    too_large (message);
  else
    g_signal_connect (message, "got-chunk", G_CALLBACK (got_chunk), NULL);
}

static void
connection_gone (gpointer data, GObject *connection)
{
  KrServer *s = data;
  s->conns--;
  if (s->paused && s->conns < s->most) {
    s->paused = FALSE;
    accept_next (s);
  }
}

static gboolean
accept_again (gpointer data)
{
  accept_next (data);
  return G_SOURCE_REMOVE;
}

static void
accepted (GObject *source, GAsyncResult *result, gpointer data)
{
  KrServer *s = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) c =
      g_socket_listener_accept_finish (G_SOCKET_LISTENER (source), result, NULL, &error);

  if (!c) {
    if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
      kr_timer_add (KR_ACCEPT_PAUSE_MS, accept_again, s);
    return;
  }
  g_socket_set_timeout (g_socket_connection_get_socket (c), s->idle_s);
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (c, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (c, NULL);
  s->conns++;
  g_object_weak_ref (G_OBJECT (c), connection_gone, s);
  if (!soup_server_accept_iostream (s->soup, G_IO_STREAM (c), local, remote, &error))
    kr_debug ("connection refused: %s", error->message);
  accept_next (s);
}

/* The stage before the API: with all connections in use, further ones wait in the kernel's short
 * backlog and the balancer goes elsewhere. */
static void
accept_next (KrServer *s)
{
  if (s->conns >= s->most)
    s->paused = TRUE;
  else
    g_socket_listener_accept_async (s->listener, s->cancel, accepted, s);
}

KrServer *
kr_server_new (const char *address, guint conns, guint idle_s, GCancellable *cancel,
               KrHandler handler, gpointer data, GError **error)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, colon - address);
  g_autoptr (GSocketAddress) a = g_inet_socket_address_new_from_string (host, atoi (colon + 1));
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();

  g_socket_listener_set_backlog (listener, (int) MIN (conns, KR_ACCEPT_BACKLOG_MAX));
  if (!a || !g_socket_listener_add_address (listener, a, G_SOCKET_TYPE_STREAM,
                                            G_SOCKET_PROTOCOL_TCP, NULL, NULL, error)) {
    g_prefix_error (error, "cannot listen on %s: ", address);
    return NULL;
  }
  KrServer *s = g_new0 (KrServer, 1);
  s->soup = soup_server_new (NULL, NULL);
  soup_server_remove_websocket_extension (s->soup, SOUP_TYPE_WEBSOCKET_EXTENSION);
  soup_server_add_early_handler (s->soup, NULL, early, s, NULL);
  soup_server_add_handler (s->soup, NULL, handle, s, NULL);
  s->listener = g_steal_pointer (&listener);
  s->cancel = kr_cancellable_child (cancel);
  s->handler = handler;
  s->data = data;
  s->most = conns;
  s->idle_s = idle_s;
  accept_next (s);
  return s;
}

void
kr_server_free (KrServer *s)
{
  g_cancellable_cancel (s->cancel);
  g_socket_listener_close (s->listener);
  soup_server_disconnect (s->soup);
  g_object_unref (s->soup);
  g_object_unref (s->listener);
  g_object_unref (s->cancel);
  /* `s` itself stays for callbacks of connections that end later; a process has two. */
}

const char *
kr_request_method (KrRequest *r)
{
  return soup_server_message_get_method (r->message);
}

const char *
kr_request_path (KrRequest *r)
{
  return r->path;
}

json_t *
kr_request_json (KrRequest *r)
{
  return r->json;
}

gboolean
kr_request_gone (KrRequest *r)
{
  return r->gone;
}

void
kr_request_reply (KrRequest *r, guint status, json_t *body, guint retry_after_s)
{
  if (!r->gone) {
    char *s = body ? json_dumps (body, JSON_COMPACT) : g_strdup ("{}");
    if (retry_after_s) {
      g_autofree char *v = g_strdup_printf ("%u", retry_after_s);
      soup_message_headers_replace (soup_server_message_get_response_headers (r->message),
                                    "Retry-After", v);
    }
    soup_server_message_set_status (r->message, status, NULL);
    soup_server_message_set_response (r->message, "application/json", SOUP_MEMORY_COPY, s,
                                      strlen (s));
    free (s);
    soup_server_message_unpause (r->message);
  }
  g_signal_handlers_disconnect_by_data (r->message, r);
  json_decref (body);
  json_decref (r->json);
  g_object_unref (r->message);
  g_free (r->path);
  g_free (r);
}
