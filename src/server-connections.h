/* The open connections of an HTTP server. Those that have not sent a whole request yet are kept in
 * the order in which they were accepted: a request has a deadline as a whole, however often another
 * byte of it arrives, and the oldest makes room when no place is left. */
#pragma once
#include <gio/gio.h>

typedef struct KrServerConnections KrServerConnections;

/* Has places for `limit` connections. `place_freed` is called after a connection was closed. */
KrServerConnections *kr_server_connections_new (guint limit, GFunc place_freed, gpointer data);
/* Takes a place for the connection until it is finalized. */
void kr_server_connections_add (KrServerConnections *connections, GSocketConnection *connection);
gboolean kr_server_connections_are_full (const KrServerConnections *connections);
/* Notes that the connection of the socket has sent a whole request. */
void kr_server_connections_request_read (GSocket *socket);
/* Closes the connection that has waited longest for a whole request, if one has for
 * KR_REQUEST_READ_MIN_MS. Its place is freed a little later. Returns FALSE if there is none. */
gboolean kr_server_connections_make_room (KrServerConnections *connections);
/* Closes the connections that have had KR_REQUEST_READ_MAX_S for a whole request. */
void kr_server_connections_close_late (KrServerConnections *connections);

typedef struct {
  guint open, limit;
  guint64 closed_late;     /* connections that were past the deadline, since the start */
  guint64 closed_for_room; /* connections that made room for another, since the start */
} KrServerConnectionsStats;
KrServerConnectionsStats kr_server_connections_stats (const KrServerConnections *connections);
