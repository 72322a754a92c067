#include "http-client.h"
#include "clock.h"
#include "constants.h"
#include "rate-limiter.h"
#include "log.h"
#include <libsoup/soup.h>
#include <string.h>

/* The session never has more calls than connections: it walks over all its messages whenever one
 * begins or ends, so that what waits in it makes every call dearer. */
struct KrHttpClient {
  grefcount refs; /* its calls hold one each */
  SoupSession *session;
  guint conns, conns_per_host, idle_s;
  guint under_way;  /* calls that a session has and has not lost */
  GQueue waiting;   /* Call: handed over in turn */
  guint idle_timer; /* until unused connections are closed */
};

/* Stands until the session has reported its end, so that a late report finds it. */
typedef struct {
  KrHttpClient *client;
  GList *place; /* in `waiting`; NULL: the session has it */
  GCancellable *cancel;
  SoupMessage *http_request;
  guint timer;              /* the deadline; behind it, the wait for the session's report */
  KrHttpResponseFunc reply; /* NULL: answered */
  gpointer data;
  gboolean lost; /* the session does not report its end */
} Call;

static guint calls_lost;

guint
kr_http_client_lost_calls (void)
{
  return calls_lost;
}

/* No idle time of the library's own: it would close a connection in the turn of the main loop in
 * which that is given to a call, and the call then never ends, or the process crashes. */
static SoupSession *
session_new (const KrHttpClient *client)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", client->conns, "max-conns-per-host", client->conns_per_host, "idle-timeout", 0,
      "proxy-resolver", NULL, NULL);
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
  g_queue_init (&client->waiting);
  client->session = session_new (client);
  return client;
}

static void
client_unref (KrHttpClient *client)
{
  if (!g_ref_count_dec (&client->refs))
    return;
  kr_timer_clear (&client->idle_timer);
  g_object_unref (client->session);
  g_free (client);
}

void
kr_http_client_free (KrHttpClient *client)
{
  soup_session_abort (client->session);
  client_unref (client);
}

/* Without calls, an abort closes the unused connections and nothing else. */
static gboolean
close_unused (gpointer data)
{
  KrHttpClient *client = data;
  client->idle_timer = 0;
  if (client->under_way)
    client->idle_timer = kr_timer_add (KR_IDLE_CLOSE_RETRY_MS, close_unused, client);
  else
    soup_session_abort (client->session);
  return G_SOURCE_REMOVE;
}

static void
call_answer (Call *call, guint status, json_t *body)
{
  KrHttpResponseFunc reply = call->reply;
  call->reply = NULL;
  kr_timer_clear (&call->timer);
  reply (status, body, call->data);
}

static void
call_free (Call *call)
{
  kr_timer_clear (&call->timer);
  g_clear_object (&call->http_request);
  g_clear_object (&call->cancel);
  client_unref (call->client);
  g_free (call);
}

static void hand_over (KrHttpClient *client);

/* Its place is free for another call, and that goes to a new session: what the old one does with
 * its connections is not known any more. */
static gboolean
call_lost (gpointer data)
{
  Call *call = data;
  KrHttpClient *client = call->client;
  call->timer = 0;
  call->lost = TRUE;
  client->under_way--;
  if (calls_lost++ == 0)
    kr_info ("http: the end of a call was never reported (%s %s), new connections from now on",
             soup_message_get_method (call->http_request),
             g_uri_get_path (soup_message_get_uri (call->http_request)));
  g_object_unref (client->session);
  client->session = session_new (client);
  hand_over (client);
  return G_SOURCE_REMOVE;
}

/* The caller gets its answer here, not when the session reports that the call is cancelled: it may
 * never do. */
static gboolean
call_late (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  if (call->place) {
    g_queue_delete_link (&call->client->waiting, call->place);
    call_answer (call, 0, NULL);
    call_free (call);
    return G_SOURCE_REMOVE;
  }
  call_answer (call, 0, NULL);
  call->timer = kr_timer_add (KR_CALL_LOST_TIMEOUT_MS, call_lost, call);
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
call_reported (Call *call)
{
  if (call->lost) {
    kr_debug ("call %s: its end came late",
              g_uri_get_path (soup_message_get_uri (call->http_request)));
    return;
  }
  call->client->under_way--;
  hand_over (call->client);
}

static void
call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  guint status = bytes ? soup_message_get_status (call->http_request) : 0;
  json_t *body = NULL;

  call_reported (call);
  if (bytes && g_bytes_get_size (bytes) > 0)
    body = json_loadb (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), JSON_DECODE_ANY,
                       NULL);
  else if (error)
    kr_debug ("call %s: %s", g_uri_get_path (soup_message_get_uri (call->http_request)),
              error->message);
  if (call->reply)
    call_answer (call, status, body);
  call_free (call);
  json_decref (body);
}

/* As many of those that wait as there are connections. */
static void
hand_over (KrHttpClient *client)
{
  Call *call;
  while (client->under_way < client->conns && (call = g_queue_pop_head (&client->waiting))) {
    call->place = NULL;
    client->under_way++;
    soup_session_send_and_read_async (client->session, call->http_request, G_PRIORITY_DEFAULT,
                                      call->cancel, call_done, call);
  }
  if (client->under_way && client->idle_s && !client->idle_timer)
    client->idle_timer = kr_timer_add (client->idle_s * 1000, close_unused, client);
}

static gboolean
call_impossible (gpointer data)
{
  call_answer (data, 0, NULL);
  call_free (data);
  return G_SOURCE_REMOVE;
}

static void
set_body (SoupMessage *message, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  g_autoptr (GBytes) bytes = g_bytes_new_with_free_func (text, strlen (text), free, text);
  soup_message_set_request_body_from_bytes (message, "application/json", bytes);
}

void
kr_http_client_call (KrHttpClient *client, const char *method, const char *host, const char *path,
                     json_t *body, guint timeout_ms, GCancellable *cancel, KrHttpResponseFunc reply,
                     gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", host, path, NULL);
  Call *call = g_new0 (Call, 1);
  g_ref_count_inc (&client->refs);
  call->client = client;
  call->reply = reply;
  call->data = data;
  call->http_request = soup_message_new (method, uri);
  if (!call->http_request) {
    json_decref (body);
    g_idle_add (call_impossible, call);
    return;
  }
  call->cancel = kr_cancellable_new_child (cancel);
  soup_message_add_flags (call->http_request, SOUP_MESSAGE_NO_REDIRECT);
  if (body)
    set_body (call->http_request, body);
  json_decref (body);
  call->timer = kr_timer_add (timeout_ms, call_late, call);
  g_queue_push_tail (&client->waiting, call);
  call->place = client->waiting.tail;
  hand_over (client);
}
