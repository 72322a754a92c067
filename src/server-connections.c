#include "server-connections.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "machine.h"

#define SOCKET_DATA "kr-server-connection"

struct KrServerConnections {
  GQueue incomplete; /* Connection, without a whole request; the oldest first */
  KrServerConnectionsStats stats;
  GFunc place_freed;
  gpointer data;
  gint64 next_log_at; /* monotonic us */
};

typedef struct {
  KrServerConnections *connections;
  GSocket *socket;
  gint64 accepted_at; /* monotonic us */
  GList link;         /* in `incomplete` */
  gboolean incomplete;
} Connection;

KrServerConnections *
kr_server_connections_new (guint limit, GFunc place_freed, gpointer data)
{
  KrServerConnections *connections = g_new0 (KrServerConnections, 1);
  g_queue_init (&connections->incomplete);
  connections->stats.limit = limit;
  connections->place_freed = place_freed;
  connections->data = data;
  return connections;
}

static void
set_complete (Connection *connection)
{
  if (connection->incomplete)
    g_queue_unlink (&connection->connections->incomplete, &connection->link);
  connection->incomplete = FALSE;
}

static void
on_finalized (gpointer data, GObject *finalized)
{
  Connection *connection = data;
  KrServerConnections *connections = connection->connections;
  set_complete (connection);
  g_object_set_data (G_OBJECT (connection->socket), SOCKET_DATA, NULL);
  g_object_unref (connection->socket);
  g_free (connection);
  connections->stats.open--;
  connections->place_freed (connections->data, NULL);
}

void
kr_server_connections_add (KrServerConnections *connections, GSocketConnection *socket_connection)
{
  Connection *connection = g_new0 (Connection, 1);
  connection->connections = connections;
  connection->socket = g_object_ref (g_socket_connection_get_socket (socket_connection));
  connection->accepted_at = kr_now ();
  connection->link.data = connection;
  connection->incomplete = TRUE;
  g_queue_push_tail_link (&connections->incomplete, &connection->link);
  g_object_set_data (G_OBJECT (connection->socket), SOCKET_DATA, connection);
  g_object_weak_ref (G_OBJECT (socket_connection), on_finalized, connection);
  connections->stats.open++;
}

gboolean
kr_server_connections_are_full (const KrServerConnections *connections)
{
  return connections->stats.open >= connections->stats.limit;
}

void
kr_server_connections_request_read (GSocket *socket)
{
  Connection *connection = g_object_get_data (G_OBJECT (socket), SOCKET_DATA);
  if (connection)
    set_complete (connection);
}

/* Closes the connection that has waited longest for a whole request, if it has for that time.
 * libsoup then reads the end of the stream and drops the connection. */
static gboolean
close_oldest (KrServerConnections *connections, double waited_s)
{
  GList *link = connections->incomplete.head;
  Connection *oldest = link ? link->data : NULL;
  if (!oldest || kr_now () - oldest->accepted_at < kr_seconds_to_us (waited_s))
    return FALSE;
  set_complete (oldest);
  g_socket_shutdown (oldest->socket, TRUE, TRUE, NULL);
  return TRUE;
}

static void
log_closed (KrServerConnections *connections)
{
  gint64 now = kr_now ();
  if (now < connections->next_log_at)
    return;
  connections->next_log_at = now + kr_seconds_to_us (KR_REFUSAL_LOG_INTERVAL_S);
  kr_info ("http: closed connections without a whole request, since the start: %" G_GUINT64_FORMAT
           " after %.0f s, %" G_GUINT64_FORMAT " to make room; %u of %u open",
           connections->stats.closed_late, KR_REQUEST_READ_MAX_S,
           connections->stats.closed_for_room, connections->stats.open, connections->stats.limit);
}

gboolean
kr_server_connections_make_room (KrServerConnections *connections)
{
  if (!close_oldest (connections, KR_REQUEST_READ_MIN_MS / 1000.0))
    return FALSE;
  connections->stats.closed_for_room++;
  log_closed (connections);
  return TRUE;
}

void
kr_server_connections_close_late (KrServerConnections *connections)
{
  guint64 closed_before = connections->stats.closed_late;
  while (close_oldest (connections, KR_REQUEST_READ_MAX_S))
    connections->stats.closed_late++;
  if (connections->stats.closed_late > closed_before)
    log_closed (connections);
}

KrServerConnectionsStats
kr_server_connections_stats (const KrServerConnections *connections)
{
  return connections->stats;
}
