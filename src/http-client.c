#include "http-client.h"
#include "clock.h"
#include "constants.h"
#include "rate-limiter.h"
#include "log.h"
#include <libsoup/soup.h>
#include <string.h>

/* A session of the library with a bounded number of connections. Whenever a message starts or ends,
 * the library walks over all messages of its session, and reads from all its idle connections. */
typedef struct {
  SoupSession *soup;  /* NULL: not used yet */
  guint active_calls; /* calls that the session has and that are not lost */
} Session;

/* Calls that exceed the number of connections are queued here, not in a session. */
struct KrHttpClient {
  grefcount refs; /* each call holds a reference */
  Session *sessions;
  guint session_count, conns_per_session;
  guint conns, conns_per_host, idle_s;
  guint active_calls; /* of all sessions */
  GQueue queue;       /* Call: in the order in which they are sent */
  guint idle_timer;   /* until idle connections are closed */
};

/* Once the session has a call, the call is freed only when the session reports its end. That may
 * come after the call was answered with a time-out or counted as lost. */
typedef struct {
  KrHttpClient *client;
  Session *session;  /* that has the call; NULL: none yet */
  GList *queue_link; /* in the client's queue; NULL: the session has the call */
  GCancellable *cancel;
  SoupMessage *message;
  guint timer;                 /* the time-out; after it, the wait for the session's report */
  KrHttpResponseFunc callback; /* NULL: already called */
  gpointer data;
  gboolean lost; /* the session did not report the end of the call in time */
} Call;

/* Number of lost calls in this process. */
static guint lost_calls;

guint
kr_http_client_lost_calls (void)
{
  return lost_calls;
}

/* libsoup's own idle time-out is off: it can close a connection in the same iteration of the main
 * loop in which the connection is assigned to a call. The call then never ends, or the process
 * crashes. */
static SoupSession *
session_new (const KrHttpClient *client)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", client->conns_per_session, "max-conns-per-host", client->conns_per_host,
      "idle-timeout", 0, "proxy-resolver", NULL, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_WEBSOCKET_EXTENSION_MANAGER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  return session;
}

KrHttpClient *
kr_http_client_new (guint conns, guint conns_per_host, guint idle_s)
{
  KrHttpClient *client = g_new0 (KrHttpClient, 1);
  g_ref_count_init (&client->refs);
  client->conns = conns;
  client->conns_per_host = conns_per_host;
  client->idle_s = idle_s;
  client->conns_per_session = MIN (conns, KR_HTTP_SESSION_CONNS);
  client->session_count = (conns + client->conns_per_session - 1) / client->conns_per_session;
  client->sessions = g_new0 (Session, client->session_count);
  g_queue_init (&client->queue);
  return client;
}

static void
client_unref (KrHttpClient *client)
{
  if (!g_ref_count_dec (&client->refs))
    return;
  kr_timer_clear (&client->idle_timer);
  for (guint i = 0; i < client->session_count; i++)
    g_clear_object (&client->sessions[i].soup);
  g_free (client->sessions);
  g_free (client);
}

void
kr_http_client_free (KrHttpClient *client)
{
  for (guint i = 0; i < client->session_count; i++)
    if (client->sessions[i].soup)
      soup_session_abort (client->sessions[i].soup);
  client_unref (client);
}

/* Without active calls, aborting a session only closes its idle connections. */
static gboolean
close_idle_connections (gpointer data)
{
  KrHttpClient *client = data;
  client->idle_timer = 0;
  for (guint i = 0; i < client->session_count; i++)
    if (client->sessions[i].soup && !client->sessions[i].active_calls)
      soup_session_abort (client->sessions[i].soup);
  if (client->active_calls)
    client->idle_timer = kr_timer_add (KR_IDLE_CLOSE_RETRY_MS, close_idle_connections, client);
  return G_SOURCE_REMOVE;
}

/* Returns a session that may take one more call: the one that last had the host, if it may, since
 * it may still have a connection to it. The client has fewer active calls than connections. */
static Session *
find_session (KrHttpClient *client, SoupMessage *message)
{
  GUri *uri = soup_message_get_uri (message);
  guint first = g_str_hash (g_uri_get_host (uri)) + (guint) g_uri_get_port (uri);
  for (guint i = 0; i < client->session_count; i++) {
    Session *session = &client->sessions[(first + i) % client->session_count];
    if (session->active_calls >= client->conns_per_session)
      continue;
    if (!session->soup)
      session->soup = session_new (client);
    return session;
  }
  g_assert_not_reached ();
}

static void
call_complete (Call *call, guint status, json_t *body)
{
  KrHttpResponseFunc callback = call->callback;
  call->callback = NULL;
  kr_timer_clear (&call->timer);
  callback (status, body, call->data);
}

static void
call_free (Call *call)
{
  kr_timer_clear (&call->timer);
  g_clear_object (&call->message);
  g_clear_object (&call->cancel);
  client_unref (call->client);
  g_free (call);
}

static void send_queued (KrHttpClient *client);

/* Gives up a call whose end the session has not reported. The calls sent from now on use a new
 * session, because the state of the old session's connections is unknown. */
static gboolean
call_lost (gpointer data)
{
  Call *call = data;
  KrHttpClient *client = call->client;
  call->timer = 0;
  call->lost = TRUE;
  client->active_calls--;
  call->session->active_calls--;
  if (lost_calls++ == 0)
    kr_info ("http: the end of call %s %s was not reported, continuing with a new session",
             soup_message_get_method (call->message),
             g_uri_get_path (soup_message_get_uri (call->message)));
  g_object_unref (call->session->soup);
  call->session->soup = session_new (client);
  send_queued (client);
  return G_SOURCE_REMOVE;
}

/* Answers the caller with status 0 at once, and then cancels the call. The session may never report
 * the end of the cancelled call. */
static gboolean
call_timed_out (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  if (call->queue_link) {
    g_queue_delete_link (&call->client->queue, call->queue_link);
    call_complete (call, 0, NULL);
    call_free (call);
    return G_SOURCE_REMOVE;
  }
  call_complete (call, 0, NULL);
  call->timer = kr_timer_add (KR_CALL_LOST_TIMEOUT_MS, call_lost, call);
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
call_end_reported (Call *call)
{
  if (call->lost) {
    kr_debug ("http: call %s was given up and has now ended",
              g_uri_get_path (soup_message_get_uri (call->message)));
    return;
  }
  call->client->active_calls--;
  call->session->active_calls--;
  send_queued (call->client);
}

/* Returns NULL if the response is not JSON. */
static json_t *
decode_body (const Call *call, GBytes *bytes)
{
  g_autofree char *error = NULL;
  json_t *body = kr_json_decode (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), &error);
  if (!body)
    kr_debug ("http: the response to %s is not JSON: %s",
              g_uri_get_path (soup_message_get_uri (call->message)), error);
  return body;
}

static void
send_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  guint status = bytes ? soup_message_get_status (call->message) : 0;
  json_t *body = NULL;

  call_end_reported (call);
  if (bytes && g_bytes_get_size (bytes) > 0)
    body = decode_body (call, bytes);
  else if (error)
    kr_debug ("http: call %s failed: %s", g_uri_get_path (soup_message_get_uri (call->message)),
              error->message);
  if (call->callback)
    call_complete (call, status, body);
  call_free (call);
  json_decref (body);
}

/* Passes queued calls to the sessions, up to the number of connections. */
static void
send_queued (KrHttpClient *client)
{
  Call *call;
  while (client->active_calls < client->conns && (call = g_queue_pop_head (&client->queue))) {
    call->queue_link = NULL;
    call->session = find_session (client, call->message);
    client->active_calls++;
    call->session->active_calls++;
    soup_session_send_and_read_async (call->session->soup, call->message, G_PRIORITY_DEFAULT,
                                      call->cancel, send_finished, call);
  }
  if (client->active_calls && client->idle_s && !client->idle_timer)
    client->idle_timer = kr_timer_add (client->idle_s * 1000, close_idle_connections, client);
}

/* The URI of the call is invalid. */
static gboolean
call_invalid (gpointer data)
{
  call_complete (data, 0, NULL);
  call_free (data);
  return G_SOURCE_REMOVE;
}

static void
set_body (SoupMessage *message, json_t *body)
{
  char *text = kr_json_encode (body);
  g_autoptr (GBytes) bytes = g_bytes_new_take (text, strlen (text));
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
}

void
kr_http_client_call (KrHttpClient *client, const char *method, const char *host, const char *path,
                     json_t *body, guint timeout_ms, GCancellable *cancel,
                     KrHttpResponseFunc callback, gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", host, path, NULL);
  Call *call = g_new0 (Call, 1);
  g_ref_count_inc (&client->refs);
  call->client = client;
  call->callback = callback;
  call->data = data;
  call->message = soup_message_new (method, uri);
  if (!call->message) {
    json_decref (body);
    g_idle_add (call_invalid, call);
    return;
  }
  call->cancel = kr_cancellable_new_child (cancel);
  soup_message_add_flags (call->message, SOUP_MESSAGE_NO_REDIRECT);
  if (body)
    set_body (call->message, body);
  json_decref (body);
  call->timer = kr_timer_add (timeout_ms, call_timed_out, call);
  g_queue_push_tail (&client->queue, call);
  call->queue_link = client->queue.tail;
  send_queued (client);
}
