#include "http-client.h"
#include "clock.h"
#include "flow.h"
#include "log.h"
#include <libsoup/soup.h>
#include <string.h>

/* The session never has more calls than connections: it walks over all its messages whenever one
 * begins or ends, so that what waits in it makes every call dearer. */
struct KrClient {
  grefcount refs; /* its calls hold one each */
  SoupSession *session;
  guint conns;
  guint under_way; /* calls that the session has */
  GQueue waiting;  /* Call: handed over in turn */
};

typedef struct {
  KrClient *client;
  GList *place; /* in `waiting`; NULL: the session has it */
  GCancellable *cancel;
  SoupMessage *message;
  guint timer;
  KrReply reply;
  gpointer data;
} Call;

KrClient *
kr_client_new (guint conns, guint conns_per_host, guint idle_s)
{
  KrClient *client = g_new0 (KrClient, 1);
  g_ref_count_init (&client->refs);
  client->conns = conns;
  g_queue_init (&client->waiting);
  client->session =
      soup_session_new_with_options ("max-conns", conns, "max-conns-per-host", conns_per_host,
                                     "idle-timeout", idle_s, "proxy-resolver", NULL, NULL);
  soup_session_remove_feature_by_type (client->session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (client->session, SOUP_TYPE_WEBSOCKET_EXTENSION_MANAGER);
  soup_session_remove_feature_by_type (client->session, SOUP_TYPE_AUTH_MANAGER);
  return client;
}

static void
client_unref (KrClient *client)
{
  if (!g_ref_count_dec (&client->refs))
    return;
  g_object_unref (client->session);
  g_free (client);
}

void
kr_client_free (KrClient *client)
{
  soup_session_abort (client->session);
  client_unref (client);
}

/* Replies and lets go of the call. */
static void
call_end (Call *call, guint status, json_t *body)
{
  kr_timer_clear (&call->timer);
  call->reply (status, body, call->data);
  g_clear_object (&call->message);
  g_clear_object (&call->cancel);
  client_unref (call->client);
  g_free (call);
}

static gboolean
call_late (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  if (call->place) {
    g_queue_delete_link (&call->client->waiting, call->place);
    call_end (call, 0, NULL);
  } else
    g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void hand_over (KrClient *client);

static void
call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  guint status = bytes ? soup_message_get_status (call->message) : 0;
  json_t *body = NULL;

  call->client->under_way--;
  hand_over (call->client);
  if (bytes && g_bytes_get_size (bytes) > 0)
    body = json_loadb (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), JSON_DECODE_ANY,
                       NULL);
  else if (error)
    kr_debug ("call %s: %s", g_uri_get_path (soup_message_get_uri (call->message)), error->message);
  call_end (call, status, body);
  json_decref (body);
}

/* As many of those that wait as there are connections. */
static void
hand_over (KrClient *client)
{
  Call *call;
  while (client->under_way < client->conns && (call = g_queue_pop_head (&client->waiting))) {
    call->place = NULL;
    client->under_way++;
    soup_session_send_and_read_async (client->session, call->message, G_PRIORITY_DEFAULT,
                                      call->cancel, call_done, call);
  }
}

static gboolean
call_impossible (gpointer data)
{
  call_end (data, 0, NULL);
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
kr_client_call (KrClient *client, const char *method, const char *host, const char *path,
                json_t *body, guint timeout_ms, GCancellable *cancel, KrReply reply, gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", host, path, NULL);
  Call *call = g_new0 (Call, 1);
  g_ref_count_inc (&client->refs);
  call->client = client;
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
  if (body)
    set_body (call->message, body);
  json_decref (body);
  call->timer = kr_timer_add (timeout_ms, call_late, call);
  g_queue_push_tail (&client->waiting, call);
  call->place = client->waiting.tail;
  hand_over (client);
}
