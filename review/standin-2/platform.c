#include "platform.h"
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <unistd.h>
#include <fcntl.h>

Node nodes[MAX_NODES];
GHashTable *machines, *jobs;
gboolean state_outage, cloud_outage;
guint violations;
guint64 state_requests;
double late_commands, copied_reports, late_reports;
double (*commit_hook) (guint node, json_t *body, gboolean *drop_answer);
void (*start_hook) (Machine *machine, Task *task, Job *job);
guint (*capacity_hook) (const MachineType *type, const char *zone, gboolean spot);
static gint64 last_rental_at;
guint long_lines;
static FILE *record;
static gint64 started;
static char *dir;
static char **command; /* the deploy file's command for the start */
static GRand *rng;

static gint64 now_us (void) { return g_get_monotonic_time (); }
double now_s (void) { return (double) (now_us () - started) / 1e6; }

void
rec (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record, "%8.3f ", now_s ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  va_end (args);
  fflush (record);
}

void
violation (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  violations++;
  rec ("RULE BROKEN: %s", text);
  printf ("%8.3f RULE BROKEN: %s\n", now_s (), text);
  fflush (stdout);
}

#define LINE_MAX_BYTES 65536 /* the protocol's limit */

/* --- main loop -------------------------------------------------------------------------------- */
static gboolean
set_flag (gpointer flag)
{
  *(gboolean *) flag = TRUE;
  return G_SOURCE_REMOVE;
}

gboolean
run_until (gboolean (*pred) (gpointer), gpointer data, double timeout_s)
{
  gint64 end = now_us () + (gint64) (timeout_s * 1e6);
  while (now_us () < end) {
    if (pred && pred (data))
      return TRUE;
    gboolean flag = FALSE;
    guint timer = g_timeout_add (20, set_flag, &flag);
    while (!flag)
      g_main_context_iteration (NULL, TRUE);
    (void) timer;
  }
  return pred && pred (data);
}

void run_for (double s) { run_until (NULL, NULL, s); }

typedef struct { void (*func) (gpointer); gpointer data; } Later;
static gboolean
later_due (gpointer p)
{
  Later *later = p;
  later->func (later->data);
  g_free (later);
  return G_SOURCE_REMOVE;
}
static void
later (double s, void (*func) (gpointer), gpointer data)
{
  Later *l = g_new (Later, 1);
  *l = (Later){ func, data };
  g_timeout_add (s <= 0 ? 0 : (guint) (s * 1000), later_due, l);
}

/* --- HTTP --------------------------------------------------------------------------------------- */
static json_t *
parse (const char *data, gsize n)
{
  return n ? json_loadb (data, n, JSON_DECODE_ANY, NULL) : NULL;
}

/* The controllers' addresses: a loopback address of this run alone, so that nobody takes a port between the search
 * for it and the controller's start. */
static char node_host[16];

static guint
free_port (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr (node_host) };
  socklen_t n = sizeof a;
  if (bind (fd, (struct sockaddr *) &a, sizeof a) || getsockname (fd, (struct sockaddr *) &a, &n))
    exit (2);
  close (fd);
  return ntohs (a.sin_port);
}

static SoupServer *
serve (SoupServerCallback handler, gpointer data, guint *port)
{
  g_autoptr (GError) error = NULL;
  SoupServer *server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, handler, data, NULL);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  if (!soup_server_listen (server, address, 0, &error)) {
    fprintf (stderr, "cannot listen: %s\n", error->message);
    exit (2);
  }
  GSList *uris = soup_server_get_uris (server);
  *port = (guint) g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  return server;
}

typedef struct {
  SoupServerMessage *message;
  guint node; /* that asked; for requests to the state service and the cloud */
  char *path, *query, *method;
  json_t *body;
  gboolean disconnected;
  guint status;
  json_t *answer;
} In;

static void on_finished (SoupServerMessage *m, gpointer data) { ((In *) data)->disconnected = TRUE; }

static In *
in_new (SoupServerMessage *message, const char *path, guint node)
{
  In *in = g_new0 (In, 1);
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  in->message = g_object_ref (message);
  in->node = node;
  in->path = g_strdup (path);
  in->query = g_strdup (g_uri_get_query (soup_server_message_get_uri (message)));
  in->method = g_strdup (soup_server_message_get_method (message));
  in->body = parse (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  g_signal_connect (message, "finished", G_CALLBACK (on_finished), in);
  soup_server_message_pause (message);
  return in;
}

static void
answer_now (gpointer data)
{
  In *in = data;
  if (!in->disconnected) {
    char *text = in->answer ? json_dumps (in->answer, JSON_COMPACT) : strdup ("{}");
    soup_server_message_set_status (in->message, in->status, NULL);
    soup_server_message_set_response (in->message, "application/json", SOUP_MEMORY_COPY, text, strlen (text));
    free (text);
    soup_server_message_unpause (in->message);
  }
  g_signal_handlers_disconnect_by_data (in->message, in);
  g_object_unref (in->message);
  json_decref (in->body);
  json_decref (in->answer);
  g_free (in->path);
  g_free (in->query);
  g_free (in->method);
  g_free (in);
}

/* Takes over `in` and `body`. */
static void
answer (In *in, guint status, json_t *body, double delay_s)
{
  in->status = status;
  in->answer = body;
  if (delay_s > 0)
    later (delay_s, answer_now, in);
  else
    answer_now (in);
}

static char *
param (const char *query, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (query ? query : "", "&", -1);
  g_autofree char *prefix = g_strconcat (name, "=", NULL);
  for (char **p = parts; *p; p++)
    if (g_str_has_prefix (*p, prefix))
      return g_strdup (*p + strlen (prefix));
  return NULL;
}

/* A small client: a connection for each request, which it says. libsoup's client sends a request again that was
 * answered with 421. */
typedef struct {
  GCancellable *cancel;
  GSocketConnection *connection;
  guint port;
  GString *request, *response;
  char buffer[16384];
  AnswerFunc func;
  gpointer data;
  guint timer;
} Out;

static void
out_end (Out *out, guint status, json_t *body)
{
  if (out->timer)
    g_source_remove (out->timer);
  out->func (status, body, out->data);
  json_decref (body);
  if (out->connection)
    g_io_stream_close (G_IO_STREAM (out->connection), NULL, NULL);
  g_clear_object (&out->connection);
  g_object_unref (out->cancel);
  g_string_free (out->request, TRUE);
  g_string_free (out->response, TRUE);
  g_free (out);
}

static gboolean
out_timed_out (gpointer data)
{
  Out *out = data;
  out->timer = 0;
  g_cancellable_cancel (out->cancel);
  return G_SOURCE_REMOVE;
}

/* Whether the response is complete: its head, and a body of the length that the head names. */
static gboolean
out_complete (Out *out, guint *status, json_t **body)
{
  char *end = strstr (out->response->str, "\r\n\r\n");
  if (!end || sscanf (out->response->str, "HTTP/1.%*c %u", status) != 1)
    return FALSE;
  g_autofree char *head = g_ascii_strdown (out->response->str, end - out->response->str);
  const char *length = strstr (head, "\r\ncontent-length:");
  gsize n = length ? (gsize) atoll (length + strlen ("\r\ncontent-length:")) : 0, at = (gsize) (end + 4 - out->response->str);
  if (out->response->len - at < n)
    return FALSE;
  if (n > LINE_MAX_BYTES && !memchr (out->response->str + at, '\n', n)) {
    rec ("a response from port %u has a line of %zu bytes", out->port, n);
    long_lines++;
    *status = 0; /* it is not read any further, and counts as no answer */
    return TRUE;
  }
  *body = parse (out->response->str + at, n);
  return TRUE;
}

static void
out_read (GObject *source, GAsyncResult *result, gpointer data)
{
  Out *out = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  guint status = 0;
  json_t *body = NULL;
  if (n > 0)
    g_string_append_len (out->response, out->buffer, n);
  if (n <= 0 || out_complete (out, &status, &body))
    out_end (out, n > 0 ? status : 0, body);
  else
    g_input_stream_read_async (G_INPUT_STREAM (source), out->buffer, sizeof out->buffer, G_PRIORITY_DEFAULT, out->cancel,
                               out_read, out);
}

static void
out_written (GObject *source, GAsyncResult *result, gpointer data)
{
  Out *out = data;
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    out_end (out, 0, NULL);
  else
    g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (out->connection)), out->buffer,
                               sizeof out->buffer, G_PRIORITY_DEFAULT, out->cancel, out_read, out);
}

static void
out_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  Out *out = data;
  out->connection = g_socket_client_connect_to_host_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (!out->connection)
    out_end (out, 0, NULL);
  else
    g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (out->connection)), out->request->str,
                                     out->request->len, G_PRIORITY_DEFAULT, out->cancel, out_written, out);
}

static void
send_request (guint port, const char *method, const char *path, json_t *body, double timeout_s, AnswerFunc func,
              gpointer data)
{
  static GSocketClient *client;
  if (!client) {
    client = g_socket_client_new ();
    g_socket_client_set_enable_proxy (client, FALSE);
  }
  char *text = body ? json_dumps (body, JSON_COMPACT) : strdup ("");
  Out *out = g_new0 (Out, 1);
  out->cancel = g_cancellable_new ();
  out->port = port;
  out->func = func;
  out->data = data;
  out->request = g_string_new (NULL);
  out->response = g_string_new (NULL);
  g_string_printf (out->request, "%s %s HTTP/1.1\r\nHost: %s:%u\r\nConnection: close\r\n", method, path, node_host, port);
  if (body)
    g_string_append_printf (out->request, "Content-Type: application/json\r\nContent-Length: %zu\r\n", strlen (text));
  else if (g_str_equal (method, "POST"))
    g_string_append (out->request, "Content-Length: 0\r\n");
  g_string_append_printf (out->request, "\r\n%s", text);
  free (text);
  json_decref (body);
  out->timer = g_timeout_add ((guint) (timeout_s * 1000), out_timed_out, out);
  g_socket_client_connect_to_host_async (client, node_host, (guint16) port, out->cancel, out_connected, out);
}

/* --- state service ------------------------------------------------------------------------------ */
typedef struct { json_t *value; guint64 mark, lease; } Entry;
typedef struct { guint64 id; gint64 expires_at; gint64 life_ms; guint node; } Lease;
typedef struct { char *key; json_t *value; guint64 mark; } Change;
typedef struct { In *in; char *prefix; guint64 from; gint64 until; } Follow;
static GTree *store; /* key -> Entry */
static GHashTable *leases;
static GPtrArray *changes, *follows;
static guint64 ledger = 100, next_lease;
static double request_tokens, write_tokens;
static gint64 tokens_at;

static void
entry_free (gpointer p)
{
  json_decref (((Entry *) p)->value);
  g_free (p);
}

static void
write_key (const char *key, json_t *value, guint64 lease)
{
  Change *c = g_new (Change, 1);
  *c = (Change){ g_strdup (key), json_incref (value), ledger };
  g_ptr_array_add (changes, c);
  if (value) {
    Entry *e = g_new (Entry, 1);
    *e = (Entry){ json_incref (value), ledger, lease };
    g_tree_replace (store, g_strdup (key), e);
  } else
    g_tree_remove (store, key);
  if (!g_str_has_prefix (key, "c/needs/")) {
    char *text = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
    rec ("state %" G_GUINT64_FORMAT ": %s %s %.160s", ledger, value ? "put" : "remove", key, text ? text : "");
    free (text);
  }
}

static json_t *
events_after (const char *prefix, guint64 from)
{
  json_t *events = json_array ();
  guint i = changes->len;
  while (i && ((Change *) changes->pdata[i - 1])->mark > from)
    i--;
  for (; i < changes->len; i++) {
    Change *c = changes->pdata[i];
    if (!g_str_has_prefix (c->key, prefix))
      continue;
    json_array_append_new (events, c->value ? json_pack ("{ss sO sI}", "Put", c->key, "Value", c->value, "Mark",
                                                         (json_int_t) c->mark)
                                            : json_pack ("{ss sI}", "Remove", c->key, "Mark", (json_int_t) c->mark));
  }
  return events;
}

static gboolean refused (guint node) { return state_outage || nodes[node].state_refused; }

static void
serve_follows (void)
{
  for (guint i = follows->len; i-- > 0;) {
    Follow *f = follows->pdata[i];
    if (refused (f->in->node))
      continue;
    json_t *events = events_after (f->prefix, f->from);
    if (!json_array_size (events) && now_us () < f->until) {
      json_decref (events);
      continue;
    }
    guint node = f->in->node;
    answer (f->in, 200, json_pack ("{sI so}", "Ledger", (json_int_t) ledger, "Events", events),
            nodes[node].state_delay_s + 0.002);
    g_ptr_array_remove_index_fast (follows, i);
    g_free (f->prefix);
    g_free (f);
  }
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

typedef struct { guint64 lease; GPtrArray *keys; } Leased;
static gboolean
collect_leased (gpointer key, gpointer value, gpointer data)
{
  Leased *l = data;
  if (((Entry *) value)->lease == l->lease)
    g_ptr_array_add (l->keys, g_strdup (key));
  return FALSE;
}

static void
end_lease (guint64 id)
{
  Leased l = { id, g_ptr_array_new_with_free_func (g_free) };
  g_tree_foreach (store, collect_leased, &l);
  if (l.keys->len)
    ledger++;
  for (guint i = 0; i < l.keys->len; i++)
    write_key (l.keys->pdata[i], NULL, 0);
  g_ptr_array_unref (l.keys);
  g_hash_table_remove (leases, &id);
}

static gboolean
state_tick (gpointer unused)
{
  if (!state_outage) {
    g_autoptr (GList) ids = g_hash_table_get_values (leases);
    for (GList *l = ids; l; l = l->next) {
      Lease *lease = l->data;
      if (lease->expires_at <= now_us ()) {
        rec ("state: lease %" G_GUINT64_FORMAT " of node %u ended", lease->id, lease->node);
        end_lease (lease->id);
      }
    }
  }
  serve_follows ();
  return G_SOURCE_CONTINUE;
}

void
set_state_outage (gboolean on)
{
  rec ("TROUBLE: the state service is %s", on ? "down" : "back");
  state_outage = on;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, leases);
  while (!on && g_hash_table_iter_next (&it, NULL, &v))
    ((Lease *) v)->expires_at = now_us () + ((Lease *) v)->life_ms * 1000;
}

static void
refill (void)
{
  double dt = (double) (now_us () - tokens_at) / 1e6;
  tokens_at = now_us ();
  request_tokens = MIN (site.state_rps, request_tokens + dt * site.state_rps);
  write_tokens = MIN (site.state_write_rps, write_tokens + dt * site.state_write_rps);
}

static void
do_commit (In *in, double delay, gboolean drop)
{
  json_t *o, *when = json_object_get (in->body, "When"), *writes = json_object_get (in->body, "Writes");
  size_t i;
  json_array_foreach (writes, i, o)
  {
    guint64 lease = (guint64) json_integer_value (json_object_get (o, "Permit"));
    if (lease && !g_hash_table_contains (leases, &lease)) {
      answer (in, 400, json_pack ("{ss}", "error", "no such lease"), delay);
      return;
    }
  }
  json_t *failed = json_array ();
  json_array_foreach (when, i, o)
  {
    const char *key = json_string_value (json_object_get (o, "Key"));
    Entry *e = g_tree_lookup (store, key);
    if ((guint64) json_integer_value (json_object_get (o, "Mark")) != (e ? e->mark : 0))
      json_array_append_new (failed, json_string (key));
  }
  if (json_array_size (failed)) {
    answer (in, 409, json_pack ("{so sI}", "failed", failed, "Ledger", (json_int_t) ledger), delay);
    return;
  }
  json_decref (failed);
  if (json_array_size (writes))
    ledger++;
  json_array_foreach (writes, i, o)
  {
    const char *put = json_string_value (json_object_get (o, "Put"));
    if (put)
      write_key (put, json_object_get (o, "Value"), (guint64) json_integer_value (json_object_get (o, "Permit")));
    else {
      const char *key = json_string_value (json_object_get (o, "Remove"));
      if (g_tree_lookup (store, key))
        write_key (key, NULL, 0);
    }
  }
  if (drop)
    rec ("state: the answer to this transaction of node %u is lost", in->node);
  else
    answer (in, 200, json_pack ("{sI}", "Ledger", (json_int_t) ledger), delay);
}

static void
commit_late (gpointer data)
{
  if (!state_outage)
    do_commit (data, 0.002, FALSE);
}

typedef struct { const char *prefix, *from; guint limit; gsize bytes; json_t *items; gboolean more; } Listing;
static gboolean
list_item (gpointer key, gpointer value, gpointer data)
{
  Listing *l = data;
  Entry *e = value;
  if (!g_str_has_prefix (key, l->prefix) || (l->from && strcmp (key, l->from) <= 0))
    return FALSE;
  gsize n = json_dumpb (e->value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) + strlen (key) + 60;
  if (json_array_size (l->items) == l->limit || l->bytes + n > 512 * 1024) {
    l->more = TRUE;
    return TRUE;
  }
  l->bytes += n;
  json_array_append_new (l->items, json_pack ("{ss sO sI}", "Key", key, "Value", e->value, "Mark", (json_int_t) e->mark));
  return FALSE;
}

static void
on_state (SoupServer *s, SoupServerMessage *message, const char *path, GHashTable *q, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  In *in = in_new (message, path, node);
  double delay = nodes[node].state_delay_s + 0.002;
  state_requests++;
  refill ();
  if (g_str_equal (path, "/follow")) {
    g_autofree char *from = param (in->query, "From"), *hold = param (in->query, "HoldMs");
    guint64 after = g_ascii_strtoull (from ? from : "0", NULL, 10);
    if (!refused (node) && request_tokens < 1) {
      answer (in, 429, NULL, delay);
      return;
    }
    request_tokens--;
    if (changes->len > 10000 && after + 1 < ((Change *) changes->pdata[changes->len - 10000])->mark) {
      answer (in, 410, NULL, delay);
      return;
    }
    if (refused (node)) { /* a new watch is refused, only those that are open wait */
      answer (in, 503, NULL, delay);
      return;
    }
    Follow *f = g_new (Follow, 1);
    *f = (Follow){ in, param (in->query, "Prefix"), after,
                   now_us () + MIN (60000, g_ascii_strtoll (hold ? hold : "0", NULL, 10)) * 1000 };
    g_ptr_array_add (follows, f);
    serve_follows ();
    return;
  }
  if (refused (node)) {
    answer (in, 503, NULL, delay);
    return;
  }
  if (request_tokens < 1) {
    answer (in, 429, NULL, delay);
    return;
  }
  request_tokens--;
  if (g_str_equal (path, "/store")) {
    g_autofree char *prefix = param (in->query, "Prefix"), *from = param (in->query, "From"), *page = param (in->query, "Page");
    Listing l = { prefix, from, page ? MIN (1000, (guint) atoi (page)) : 1000, 0, json_array (), FALSE };
    g_tree_foreach (store, list_item, &l);
    answer (in, 200, json_pack ("{so sb sI}", "Items", l.items, "More", l.more, "Ledger", (json_int_t) ledger), delay);
  } else if (g_str_has_prefix (path, "/store/")) {
    const char *key = path + strlen ("/store/");
    Entry *e = g_tree_lookup (store, key);
    if (!e)
      answer (in, 404, json_pack ("{sI}", "Ledger", (json_int_t) ledger), delay);
    else {
      json_t *o = json_pack ("{ss sO sI}", "Key", key, "Value", e->value, "Mark", (json_int_t) e->mark);
      if (e->lease)
        json_object_set_new (o, "Permit", json_integer ((json_int_t) e->lease));
      answer (in, 200, o, delay);
    }
  } else if (g_str_equal (path, "/commit")) {
    gsize n = json_array_size (json_object_get (in->body, "Writes"));
    if (write_tokens < (double) MIN (n, site.state_write_rps)) {
      answer (in, 429, NULL, delay);
      return;
    }
    write_tokens -= (double) n;
    if (n > site.txn_ops || json_array_size (json_object_get (in->body, "When")) > 4 * site.txn_ops ||
        json_dumpb (in->body, NULL, 0, JSON_COMPACT) > 65536) {
      rec ("state: node %u sent a transaction beyond the limits", node);
      answer (in, 400, json_pack ("{ss}", "error", "limit"), delay);
      return;
    }
    gboolean drop = FALSE;
    double hold = commit_hook ? commit_hook (node, in->body, &drop) : -1;
    if (hold >= 0)
      later (hold, commit_late, in);
    else
      do_commit (in, delay, drop);
  } else if (g_str_has_prefix (path, "/leases")) {
    guint64 id = path[7] == '/' ? g_ascii_strtoull (path + 8, NULL, 10) : 0;
    Lease *lease = id ? g_hash_table_lookup (leases, &id) : NULL;
    if (id && !lease)
      answer (in, 404, NULL, delay);
    else if (g_str_equal (in->method, "DELETE")) {
      rec ("state: lease %" G_GUINT64_FORMAT " ended by node %u", id, node);
      end_lease (id);
      answer (in, 200, NULL, delay);
    } else {
      if (!lease) {
        lease = g_new0 (Lease, 1);
        lease->id = ++next_lease;
        lease->node = node;
        lease->life_ms = json_integer_value (json_object_get (in->body, "LifeMs"));
        g_hash_table_insert (leases, &lease->id, lease);
      }
      lease->expires_at = now_us () + lease->life_ms * 1000;
      answer (in, 200, json_pack ("{sI}", "Permit", (json_int_t) lease->id), delay);
    }
  } else
    answer (in, 400, NULL, delay);
}

int
owner_of (int shard)
{
  g_autofree char *key = shard < 0 ? g_strdup ("c/leader") : g_strdup_printf ("c/owner/%d", shard);
  Entry *e = g_tree_lookup (store, key);
  const char *name = e ? json_string_value (json_object_get (e->value, "Node")) : NULL;
  return name ? atoi (name + strlen ("berth-")) : -1;
}

/* --- jobs as the checker knows them ------------------------------------------------------------- */
Job *
job_new (const char *id, const char *team, guint tasks, double cpus, double mem_gb, double run_s)
{
  Job *job = g_new0 (Job, 1);
  job->id = g_strdup (id);
  job->team = team;
  job->lane = "menu-plan-nightly";
  job->rank = "normal";
  job->tasks = tasks;
  job->cpus = cpus;
  job->mem_gb = mem_gb;
  job->run_s = run_s;
  job->estimate_s = run_s;
  job->deadline_s = NAN;
  job->spot = TRUE;
  job->completed = g_new0 (guint8, tasks);
  g_hash_table_insert (jobs, job->id, job);
  return job;
}

json_t *
job_body (const Job *j)
{
  json_t *b = json_pack ("{ss ss ss ss ss sI sf sf sf ss sf sb sb sb sf sf sf}", "Id", j->id, "Lane", j->lane, "Crew",
                         j->team, "Form", "array", "Rank", j->rank, "Shifts", (json_int_t) j->tasks, "Cores", j->cpus,
                         "Accelerators", 0.0, "MemGb", j->mem_gb, "Cargo", "img-01", "PullGb", 1.2, "OneZone",
                         (int) j->one_zone, "Apart", (int) j->apart, "Driftwood", (int) j->spot, "SailS", j->estimate_s,
                         "MooringS", j->checkpoint_s, "StowS", j->save_s);
  json_object_set_new (b, "Hulls", j->type ? json_pack ("[s]", j->type) : json_null ());
  json_object_set_new (b, "Harbor", j->zone ? json_string (j->zone) : json_null ());
  json_object_set_new (b, "TideS", isnan (j->deadline_s) ? json_null () : json_real (j->deadline_s));
  return b;
}

static gboolean
on_machine (const Task *t)
{
  return g_str_equal (t->state, "running") || g_str_equal (t->state, "saving");
}

guint
tasks_on_machines (const char *job)
{
  GHashTableIter it;
  gpointer v;
  guint n = 0;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    Machine *m = v;
    for (guint i = 0; !m->gone && i < m->tasks->len; i++) {
      Task *t = m->tasks->pdata[i];
      n += on_machine (t) && (!job || g_str_equal (t->id, job));
    }
  }
  return n;
}

Machine *
machine_of_task (const char *job, guint index)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    Machine *m = v;
    for (guint i = 0; !m->gone && i < m->tasks->len; i++) {
      Task *t = m->tasks->pdata[i];
      if (on_machine (t) && t->index == index && g_str_equal (t->id, job))
        return m;
    }
  }
  return NULL;
}

/* The rules about a task that starts: ran_twice, quota, wrong_place, ran_cancelled. */
static void
check_start (Machine *m, Task *task, Job *job)
{
  GHashTableIter it;
  gpointer v;
  double team_cpus = 0, team_max = 0;
  guint others = 0, others_here = 0;

  rec ("worker %s: task %s/%u attempt %" G_GUINT64_FORMAT " starts", m->id, task->id, task->index, task->attempt);
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    Machine *o = v;
    for (guint i = 0; !o->gone && i < o->tasks->len; i++) {
      Task *t = o->tasks->pdata[i];
      Job *j = g_hash_table_lookup (jobs, t->id);
      if (!on_machine (t) || !j)
        continue;
      if (t != task && t->index == task->index && g_str_equal (t->id, task->id))
        violation ("ran_twice: task %s/%u starts on %s while it is on %s", t->id, t->index, m->id, o->id);
      if (g_str_equal (j->team, job->team))
        team_cpus += j->cpus;
      if (j == job && t != task) {
        others++;
        others_here += g_str_equal (o->zone, m->zone);
      }
    }
  }
  for (guint i = 0; i < 8 && site.teams[i].name; i++)
    if (g_str_equal (site.teams[i].name, job->team))
      team_max = site.teams[i].cpus_max;
  if (team_max > 0 && team_cpus > team_max + 1e-6)
    violation ("quota: team %s uses %g CPUs of %g", job->team, team_cpus, team_max);
  if ((job->zone && !g_str_equal (job->zone, m->zone)) || (job->type && !g_str_equal (job->type, m->type->name)) ||
      (m->spot && !job->spot) || (job->one_zone && others != others_here) ||
      (job->apart && others_here + 1 > (job->tasks + 1) / 2))
    violation ("wrong_place: task %s/%u starts on %s", task->id, task->index, m->id);
  if (job->cancelled_at && now_us () - job->cancelled_at > (gint64) (site.cancel_s * 1e6))
    violation ("ran_cancelled: task %s/%u starts on %s %.1f s after the user was told", task->id, task->index, m->id,
               (double) (now_us () - job->cancelled_at) / 1e6);
  job->starts++;
  if (!job->first_start_at)
    job->first_start_at = now_us ();
  if (start_hook)
    start_hook (m, task, job);
}

/* --- workers ------------------------------------------------------------------------------------- */
static void
report_soon (Machine *m)
{
  m->next_report_at = MIN (m->next_report_at, MAX (now_us (), m->last_report_at + 500000));
}

static void
task_free (gpointer p)
{
  g_free (((Task *) p)->id);
  g_free (p);
}

static json_t *
build_report (Machine *m)
{
  json_t *tasks = json_array ();
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    json_t *o = json_pack ("{so sI ss}", "Shift", json_sprintf ("%s/%u", t->id, t->index), "Launch",
                           (json_int_t) t->attempt, "Bearing", t->state);
    if (t->why)
      json_object_set_new (o, "Wreck", json_string (t->why));
    if (t->why && g_str_equal (t->why, "stopped"))
      json_object_set_new (o, "Kept", json_boolean (t->saved));
    json_array_append_new (tasks, o);
  }
  json_t *r = json_pack ("{ss ss ss ss sb sI sI sI so}", "Berth", m->id, "Endpoint", m->endpoint, "Hull", m->type->name,
                         "Harbor", m->zone, "Driftwood", (int) m->spot, "Watch", (json_int_t) m->session, "Log",
                         (json_int_t) ++m->seq, "Helm", (json_int_t) m->token, "Shifts", tasks);
  json_object_set_new (r, "RecallS",
                       m->notice_until > 0 ? json_real (MAX (0, m->notice_until - now_s ())) : json_null ());
  return r;
}

static void
start_due (Machine *m, Task *t)
{
  Job *job = g_hash_table_lookup (jobs, t->id);
  if (!g_str_equal (t->state, "pulling") || now_us () < t->starts_at)
    return;
  if (job->completed[t->index]) { /* the result is kept */
    t->state = "exited";
    t->why = "done";
    report_soon (m);
    return;
  }
  t->state = "running";
  double run_s = job->fails ? 0.3 : job->task_run_s ? job->task_run_s[t->index] : job->run_s;
  t->ends_at = now_us () + (gint64) (run_s * 1e6);
  check_start (m, t, job);
  report_soon (m);
}

static void
execute (Machine *m, json_t *orders)
{
  json_t *o;
  size_t i;
  json_array_foreach (orders, i, o)
  {
    const char *order = json_string_value (json_object_get (o, "Order"));
    const char *shift = json_string_value (json_object_get (o, "Shift"));
    const char *slash = strrchr (shift, '/');
    g_autofree char *id = g_strndup (shift, (gsize) (slash - shift));
    guint index = (guint) atoi (slash + 1);
    guint64 attempt = (guint64) json_integer_value (json_object_get (o, "Launch"));
    Job *job = g_hash_table_lookup (jobs, id);
    Task *t = NULL;
    double used = 0, used_mem = 0;
    gboolean in_use = FALSE;
    for (guint k = 0; k < m->tasks->len; k++) {
      Task *x = m->tasks->pdata[k];
      if (x->index == index && x->attempt == attempt && g_str_equal (x->id, id))
        t = x;
      if (g_str_equal (x->state, "exited"))
        continue;
      Job *xj = g_hash_table_lookup (jobs, x->id);
      used += xj->cpus;
      used_mem += xj->mem_gb;
      in_use |= x->index == index && g_str_equal (x->id, id);
    }
    rec ("worker %s: order %s %s attempt %" G_GUINT64_FORMAT, m->id, order, shift, attempt);
    if (g_str_equal (order, "run") && !t) {
      t = g_new0 (Task, 1);
      *t = (Task){ g_strdup (id), index, attempt, "pulling", NULL, FALSE, now_us () + (gint64) (site.pull_s * 1e6), 0 };
      g_ptr_array_add (m->tasks, t);
      const char *why = !job || !job->submitted || index >= job->tasks ? "unknown"
                        : in_use                                       ? "in_use"
                        : used + job->cpus > m->type->cpus + 1e-6 || used_mem + job->mem_gb > m->type->mem_gb + 1e-6
                            ? "no_room"
                            : NULL;
      if (why) {
        t->state = "exited";
        t->why = why;
      }
      report_soon (m);
    } else if (g_str_equal (order, "kill") && t && !g_str_equal (t->state, "exited")) {
      double slack = json_number_value (json_object_get (o, "SlackS"));
      if (g_str_equal (t->state, "running") && job->checkpoint_s > 0 && slack >= job->save_s && slack > 0) {
        t->state = "saving";
        t->ends_at = now_us () + (gint64) (job->save_s * 1e6);
      } else if (!g_str_equal (t->state, "saving") || slack <= 0) {
        rec ("worker %s: task %s is stopped", m->id, shift);
        t->state = "exited";
        t->why = "stopped";
      }
      report_soon (m);
    } else if (g_str_equal (order, "clear") && t && g_str_equal (t->state, "exited")) {
      g_ptr_array_remove (m->tasks, t);
      report_soon (m);
    }
  }
}

static void
note_token (Machine *m, guint64 token)
{
  if (token <= m->token)
    return;
  m->token = token;
  if (now_us () - m->token_change_at > (gint64) (site.lease_s * 5e5)) {
    m->token_change_at = now_us ();
    report_soon (m);
  }
}

typedef struct { Machine *m; guint64 session; guint serial; } Sent;

static void
report_answered (guint status, json_t *body, gpointer data)
{
  Sent *sent = data;
  Machine *m = sent->m;
  gboolean stale = sent->session != m->session || sent->serial != m->report_serial;
  guint64 token = (guint64) json_integer_value (json_object_get (body, "Helm"));
  const char *to = json_string_value (json_object_get (body, "Harbormaster"));
  if (sent->serial == m->report_serial)
    m->in_flight = FALSE;
  g_free (sent);
  if (m->gone || stale)
    return;
  if (m->deaf || (m->hangs && now_us () - m->report_sent_at > 4000000))
    status = 0;
  if (status != 200)
    rec ("worker %s: berth-%u answered its report with %u%s%s", m->id, m->node, status, to ? ", go to " : "", to ? to : "");
  if (status == 200) {
    if (token && token >= m->token) {
      m->lease_at = m->report_sent_at;
      note_token (m, token);
      execute (m, json_object_get (body, "Orders"));
    }
    return;
  }
  guint next = to ? (guint) atoi (to + strlen ("berth-")) : m->node;
  if (status == 421 && to && next != m->node && next < site.nodes) {
    m->node = next;
    m->next_report_at = MAX (now_us () + 100000, m->last_report_at + 500000);
  } else {
    m->node = (m->node + 1) % site.nodes;
    m->next_report_at = now_us () + 1000000;
  }
}

typedef struct { guint port; json_t *report; AnswerFunc func; gpointer data; } LateReport;
static void copy_answered (guint status, json_t *body, gpointer data) {}
static void
send_late (gpointer data)
{
  LateReport *late = data;
  send_request (late->port, "POST", "/agent/beat", late->report, 4, late->func, late->data);
  g_free (late);
}
static void report_given_up (gpointer data) { report_answered (0, NULL, data); }

static void
send_report (Machine *m)
{
  Sent *sent = g_new (Sent, 1);
  *sent = (Sent){ m, m->session, ++m->report_serial };
  m->in_flight = TRUE;
  m->report_sent_at = m->last_report_at = now_us ();
  m->next_report_at = now_us () + (gint64) (site.report_s * g_rand_double_range (rng, 0.75, 1.25) * 1e6);
  json_t *report = build_report (m);
  if (copied_reports > 0 && g_rand_double (rng) < copied_reports) {
    LateReport *copy = g_new (LateReport, 1);
    *copy = (LateReport){ nodes[g_rand_int (rng) % site.nodes].public_port, json_deep_copy (report), copy_answered, NULL };
    later (g_rand_double_range (rng, 2, 30), send_late, copy);
  }
  if (late_reports > 0 && g_rand_double (rng) < late_reports) {
    LateReport *late = g_new (LateReport, 1);
    Sent *given_up = g_new (Sent, 1);
    *given_up = *sent;
    *late = (LateReport){ nodes[m->node].public_port, report, copy_answered, NULL };
    later (g_rand_double_range (rng, 1, 20), send_late, late);
    later (4, report_given_up, given_up);
    g_free (sent);
    return;
  }
  send_request (nodes[m->node].public_port, "POST", "/agent/beat", report, 4, report_answered, sent);
}

static void
begin_session (Machine *m)
{
  if (m->session) {
    rec ("worker %s: its lease is over, %u tasks end", m->id, m->tasks->len);
  }
  g_ptr_array_set_size (m->tasks, 0);
  m->session++;
  m->lease_at = now_us ();
  report_soon (m);
}

static void
machine_tick (Machine *m)
{
  gint64 now = now_us ();
  if (m->gone || now < m->up_at)
    return;
  if (!m->up) {
    m->up = TRUE;
    m->next_report_at = now;
    begin_session (m);
    rec ("worker %s: up in zone %s", m->id, m->zone);
  }
  if (m->notice_until > 0 && now_s () >= m->notice_until) {
    machine_take (m);
    return;
  }
  if (now - m->lease_at > (gint64) (site.lease_s * 1e6))
    begin_session (m);
  if (m->hangs)
    return;
  for (guint i = 0; i < m->tasks->len; i++) {
    Task *t = m->tasks->pdata[i];
    Job *job = g_hash_table_lookup (jobs, t->id);
    start_due (m, t);
    if (!on_machine (t))
      continue;
    if (job->cancelled_at && now - job->cancelled_at > (gint64) (site.cancel_s * 1e6)) {
      violation ("ran_cancelled: task %s/%u is on %s %.1f s after the user was told", t->id, t->index, m->id,
                 (double) (now - job->cancelled_at) / 1e6);
      job->cancelled_at = G_MAXINT64 / 2;
    }
    if (now < t->ends_at)
      continue;
    if (g_str_equal (t->state, "saving")) {
      t->state = "exited";
      t->why = "stopped";
      t->saved = TRUE;
    } else {
      t->state = "exited";
      t->why = job->fails ? "error" : "done";
      if (!job->fails && !job->completed[t->index]) {
        job->completed[t->index] = 1;
        if (++job->n_completed == job->tasks)
          job->completed_at = now;
      }
    }
    rec ("worker %s: task %s/%u exits: %s", m->id, t->id, t->index, t->why);
    report_soon (m);
  }
  if (m->in_flight || now < m->next_report_at)
    return;
  if (m->mute) {
    m->node = (m->node + 1) % site.nodes;
    m->next_report_at = now + 1000000;
  } else
    send_report (m);
}

static gboolean
machines_tick (gpointer unused)
{
  g_autoptr (GList) all = g_hash_table_get_values (machines);
  for (GList *l = all; l; l = l->next)
    machine_tick (l->data);
  return G_SOURCE_CONTINUE;
}

static void worker_request (In *in, Machine *m);
typedef struct { In *in; Machine *m; } Waiting;
static void
worker_again (gpointer data)
{
  Waiting *w = data;
  worker_request (w->in, w->m);
  g_free (w);
}

static void
worker_request (In *in, Machine *m)
{
  if (m->gone || !m->up || m->deaf)
    return; /* no answer */
  if (m->hangs) {
    Waiting *w = g_new (Waiting, 1);
    *w = (Waiting){ in, m };
    later (0.05, worker_again, w);
    return;
  }
  if (g_str_equal (in->path, "/show")) {
    answer (in, 200, build_report (m), 0);
    return;
  }
  guint64 token = (guint64) json_integer_value (json_object_get (in->body, "Helm")),
          session = (guint64) json_integer_value (json_object_get (in->body, "Watch"));
  if (!token || !session)
    answer (in, 400, NULL, 0);
  else if (token < m->token || session != m->session)
    answer (in, 409, build_report (m), 0);
  else if (late_commands > 0 && !in->disconnected && g_rand_double (rng) < late_commands) {
    Waiting *w = g_new (Waiting, 1);
    *w = (Waiting){ in, m };
    in->disconnected = TRUE;
    later (g_rand_double_range (rng, 2, 16), worker_again, w);
  } else {
    rec ("worker %s: direct command with token %" G_GUINT64_FORMAT, m->id, token);
    note_token (m, token);
    execute (m, json_object_get (in->body, "Orders"));
    answer (in, 200, build_report (m), 0);
  }
}

static void
on_worker (SoupServer *s, SoupServerMessage *message, const char *path, GHashTable *q, gpointer data)
{
  worker_request (in_new (message, path, 0), data);
}

/* --- cloud --------------------------------------------------------------------------------------- */
static guint next_machine = 1;
static GHashTable *rentals; /* name -> JSON array */
static double cloud_tokens;
static gint64 cloud_tokens_at;

Machine *
machine_add (const MachineType *type, const char *zone, gboolean spot, double boot_s)
{
  Machine *m = g_new0 (Machine, 1);
  m->id = g_strdup_printf ("host-%06u", next_machine++);
  m->type = type;
  m->zone = zone;
  m->spot = spot;
  m->rented_at = now_us ();
  m->up_at = m->rented_at + (gint64) (boot_s * 1e6);
  m->listed_at = m->rented_at + (gint64) (site.list_lag_s * 1e6);
  m->tasks = g_ptr_array_new_with_free_func (task_free);
  m->server = serve (on_worker, m, &m->port);
  m->endpoint = g_strdup_printf ("127.0.0.1:%u", m->port);
  m->node = g_rand_int (rng) % site.nodes;
  g_hash_table_insert (machines, m->id, m);
  return m;
}

static void
machine_end (Machine *m)
{
  m->gone = TRUE;
  m->gone_at = now_us ();
  g_ptr_array_set_size (m->tasks, 0);
}

void
machine_take (Machine *m)
{
  rec ("TROUBLE: the cloud takes machine %s back, %u tasks end", m->id, m->tasks->len);
  m->taken = TRUE;
  machine_end (m);
}

void
machine_hang (Machine *m, gboolean on)
{
  rec ("TROUBLE: machine %s %s", m->id, on ? "hangs" : "goes on");
  m->hangs = on;
}

guint
machines_up (void)
{
  GHashTableIter it;
  gpointer v;
  guint n = 0;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v))
    n += ((Machine *) v)->up && !((Machine *) v)->gone;
  return n;
}

guint machines_rented (void) { return next_machine - 1; }

double seconds_since_rental (void) { return (double) (now_us () - last_rental_at) / 1e6; }


Machine *
machine_with_room (const Job *job)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    Machine *m = v;
    double cpus = m->type->cpus, mem = m->type->mem_gb;
    if (!m->up || m->gone || m->hangs || m->deaf || m->mute || m->notice_until > 0 || (m->spot && !job->spot) ||
        (job->zone && !g_str_equal (job->zone, m->zone)) || (job->type && !g_str_equal (job->type, m->type->name)))
      continue;
    for (guint i = 0; i < m->tasks->len; i++) {
      const Task *t = m->tasks->pdata[i];
      const Job *j = g_hash_table_lookup (jobs, t->id);
      if (!g_str_equal (t->state, "exited")) {
        cpus -= j->cpus;
        mem -= j->mem_gb;
      }
    }
    if (cpus >= job->cpus - 1e-6 && mem >= job->mem_gb - 1e-6)
      return m;
  }
  return NULL;
}

static guint
in_pool (const MachineType *type, const char *zone, gboolean spot)
{
  GHashTableIter it;
  gpointer v;
  guint n = 0;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    Machine *m = v;
    n += !m->gone && m->type == type && g_str_equal (m->zone, zone) && m->spot == spot;
  }
  return n;
}

static int
compare_ids (gconstpointer a, gconstpointer b)
{
  return strcmp (((const Machine *) a)->id, ((const Machine *) b)->id);
}

static void
on_cloud (SoupServer *s, SoupServerMessage *message, const char *path, GHashTable *q, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  In *in = in_new (message, path, node);
  double delay = 0.08;
  gint64 now = now_us ();
  cloud_tokens = MIN (2 * site.cloud_rps, cloud_tokens + (double) (now - cloud_tokens_at) / 1e6 * site.cloud_rps);
  cloud_tokens_at = now;
  if (cloud_tokens < 1) {
    answer (in, 429, NULL, delay);
    return;
  }
  cloud_tokens--;
  if (cloud_outage) {
    answer (in, 503, json_pack ("{ss}", "error", "trouble"), delay);
    return;
  }
  if (g_str_equal (path, "/machine_types")) {
    json_t *types = json_array ();
    for (guint i = 0; i < 4 && site.types[i].name; i++) {
      const MachineType *t = &site.types[i];
      json_t *zones = json_array ();
      for (guint z = 0; z < 8 && t->zones[z]; z++)
        json_array_append_new (zones, json_string (t->zones[z]));
      json_array_append_new (types, json_pack ("{ss sf sf sf sf sf sf sf sf so}", "Name", t->name, "Cores", t->cpus,
                                               "Accelerators", 0.0, "MemGb", t->mem_gb, "CacheGb", 50.0, "PullGbPerS",
                                               0.6, "Rate", t->price, "MarketPrice", t->spot_price, "ReadyS", t->ready_s,
                                               "Harbors", zones));
    }
    answer (in, 200, json_pack ("{so}", "Hulls", types), delay);
  } else if (g_str_equal (path, "/rentals") && g_str_equal (in->method, "POST")) {
    const char *name = json_string_value (json_object_get (in->body, "Charter")),
               *type_name = json_string_value (json_object_get (in->body, "Hull")),
               *zone_name = json_string_value (json_object_get (in->body, "Harbor"));
    gboolean spot = json_is_true (json_object_get (in->body, "Driftwood"));
    guint number = (guint) json_integer_value (json_object_get (in->body, "Number")), got = 0;
    json_t *old = g_hash_table_lookup (rentals, name), *ids = json_array ();
    const MachineType *type = NULL;
    const char *zone = NULL;
    if (old) {
      json_decref (ids);
      answer (in, 200, json_pack ("{sO}", "Berths", old), delay);
      return;
    }
    for (guint i = 0; i < 4 && site.types[i].name; i++)
      if (g_str_equal (site.types[i].name, type_name))
        type = &site.types[i];
    for (guint z = 0; type && z < 8 && type->zones[z]; z++)
      if (g_str_equal (type->zones[z], zone_name))
        zone = type->zones[z];
    if (!type || !zone || !number || number > 50) {
      json_decref (ids);
      answer (in, 400, NULL, delay);
      return;
    }
    guint capacity = capacity_hook ? capacity_hook (type, zone, spot) : spot ? site.capacity_spot : site.capacity_on_demand;
    last_rental_at = now;
    for (; got < number && in_pool (type, zone, spot) < capacity; got++) {
      Machine *m = machine_add (type, zone, spot, site.boot_s * g_rand_double_range (rng, 0.6, 1.5));
      json_array_append_new (ids, json_string (m->id));
    }
    rec ("cloud: berth-%u rents %u of %u %s %s in %s (%s)", node, got, number, spot ? "spot" : "ordinary", type_name,
         zone_name, name);
    if (!got) {
      json_decref (ids);
      answer (in, 503, json_pack ("{ss}", "error", "no capacity"), delay);
      return;
    }
    g_hash_table_insert (rentals, g_strdup (name), ids);
    answer (in, 200, json_pack ("{sO}", "Berths", ids), delay);
  } else if (g_str_equal (path, "/rentals/delete")) {
    json_t *id;
    size_t i;
    json_array_foreach (json_object_get (in->body, "Berths"), i, id)
    {
      Machine *m = g_hash_table_lookup (machines, json_string_value (id));
      if (m && !m->gone) {
        rec ("cloud: berth-%u deletes %s with %u tasks", node, m->id, m->tasks->len);
        machine_end (m);
      }
    }
    answer (in, 200, NULL, delay);
  } else if (g_str_equal (path, "/rentals")) {
    g_autofree char *from = param (in->query, "From"), *page = param (in->query, "Page");
    guint limit = page ? MIN (500, (guint) atoi (page)) : 500;
    GList *all = g_list_sort (g_hash_table_get_values (machines), compare_ids);
    json_t *list = json_array ();
    gboolean more = FALSE;
    gint64 lag = (gint64) (site.list_lag_s * 1e6);
    for (GList *l = all; l; l = l->next) {
      Machine *m = l->data;
      if ((from && strcmp (m->id, from) <= 0) || now < m->listed_at || (m->gone && now - m->gone_at > lag))
        continue;
      if (json_array_size (list) == limit) {
        more = TRUE;
        break;
      }
      json_array_append_new (list, json_pack ("{ss ss ss ss sb ss sf}", "Id", m->id, "Endpoint", m->endpoint, "Hull",
                                              m->type->name, "Harbor", m->zone, "Driftwood", (int) m->spot, "Bearing",
                                              now - lag >= m->up_at ? "running" : "starting", "HeldS",
                                              (double) (now - lag - m->rented_at) / 1e6));
    }
    g_list_free (all);
    answer (in, 200, json_pack ("{so sb}", "Berths", list, "More", (int) more), delay);
  } else
    answer (in, 400, NULL, delay);
}

/* --- controllers --------------------------------------------------------------------------------- */
static void
write_settings (guint n)
{
  GString *t = g_string_new (NULL);
  guint zone_count = 0;
  while (zone_count < 8 && site.zones[zone_count])
    zone_count++;
  g_string_append_printf (t, "node_name = \"berth-%u\"\nzone = \"%s\"\nclient_listen = \"%s:%u\"\ninternal_addr = \"%s:%u\"\n",
                          n, site.zones[n % zone_count], node_host, nodes[n].public_port, node_host, nodes[n].peer_port);
  for (guint i = 0; i < site.nodes; i++)
    if (i != n)
      g_string_append_printf (t, "\n[[others]]\nnode_name = \"berth-%u\"\nzone = \"%s\"\npeer_addr = \"%s:%u\"\n", i,
                              site.zones[i % zone_count], node_host, nodes[i].peer_port);
  g_string_append_printf (t, "\n[external]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n", nodes[n].cloud_port,
                          nodes[n].state_port);
  g_string_append_printf (t, "\n[facts]\nsize = %u\nzones = [", site.nodes);
  for (guint z = 0; z < zone_count; z++)
    g_string_append_printf (t, "%s\"%s\"", z ? ", " : "", site.zones[z]);
  g_string_append (t, "]\nclock_error_ms = 250.0\n");
  for (guint i = 0; i < 8 && site.teams[i].name; i++)
    g_string_append_printf (t, "\n[[facts.teams]]\nname = \"%s\"\ncpus = %f\ncpus_max = %f\ngpus = 0.0\ngpus_max = 0.0\n",
                            site.teams[i].name, site.teams[i].cpus, site.teams[i].cpus_max);
  g_string_append (t, site.objectives ? site.objectives : "");
  g_string_append_printf (t, "\n[facts.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = 50.0\ngang_peer_s = 5.0\ncancel_s = %f\n",
                          site.report_s, site.lease_s, site.cancel_s);
  g_string_append_printf (t, "\n[facts.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %u\n", site.state_rps,
                          site.state_write_rps, site.value_kb, site.txn_ops);
  g_string_append_printf (t, "\n[facts.cloud]\nrps = %f\nlist_lag_s = %f\n", site.cloud_rps, site.list_lag_s);
  g_string_append_printf (t, "\n[facts.resources]\ncore_share = 0.04\nram_mb = %f\nsockets = %u\n", site.memory_mb, site.sockets);
  nodes[n].settings = g_strdup_printf ("%s/berth-%u.toml", dir, n);
  nodes[n].log = g_strdup_printf ("%s/berth-%u.log", dir, n);
  g_file_set_contents (nodes[n].settings, t->str, -1, NULL);
  g_string_free (t, TRUE);
}

typedef struct { guint node; GPid pid; } Child;
static void
child_ended (GPid pid, gint status, gpointer data)
{
  Child *child = data;
  Node *node = &nodes[child->node];
  if (node->alive && node->pid == pid) {
    node->alive = FALSE;
    violation ("berth-%u ended by itself (status %d)", child->node, status);
  }
  g_free (child);
}

static int child_log;
static void
child_setup (gpointer unused)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (child_log, 2);
}

void
node_start (guint n)
{
  guint words = g_strv_length (command);
  g_autofree char **argv = g_new0 (char *, words + 2);
  g_autoptr (GError) error = NULL;
  for (guint i = 0; i < words; i++)
    argv[i] = command[i];
  argv[words] = nodes[n].settings;
  child_log = open (nodes[n].log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (!g_spawn_async (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, child_setup, NULL, &nodes[n].pid, &error)) {
    fprintf (stderr, "cannot start: %s\n", error->message);
    platform_end ();
    exit (2);
  }
  close (child_log);
  nodes[n].alive = TRUE;
  nodes[n].stopped = FALSE;
  Child *child = g_new (Child, 1);
  *child = (Child){ n, nodes[n].pid };
  g_child_watch_add (nodes[n].pid, child_ended, child);
  rec ("berth-%u: started", n);
}

void
node_kill (guint n)
{
  if (!nodes[n].alive)
    return;
  rec ("TROUBLE: berth-%u is killed", n);
  nodes[n].alive = FALSE;
  kill (nodes[n].pid, SIGKILL);
}

void
node_stop (guint n, gboolean on)
{
  rec ("TROUBLE: berth-%u %s", n, on ? "stands still" : "goes on");
  nodes[n].stopped = on;
  kill (nodes[n].pid, on ? SIGSTOP : SIGCONT);
}

/* --- load balancer -------------------------------------------------------------------------------- */
static void
probe_done (guint status, json_t *body, gpointer data)
{
  Node *node = &nodes[GPOINTER_TO_UINT (data)];
  if (status || !node->alive || node->stopped)
    node->answered_at = now_us ();
  else if (node->answered_at)
    node->longest_silence_s = MAX (node->longest_silence_s, (double) (now_us () - node->answered_at) / 1e6);
  if (status == 200) {
    node->unanswered_probes = 0;
    node->good_probes++;
    if (!node->ever_healthy || node->good_probes >= 2)
      node->healthy = node->ever_healthy = TRUE;
  } else {
    node->good_probes = 0;
    if (++node->unanswered_probes >= 2)
      node->healthy = FALSE;
  }
}

static gboolean
probe_all (gpointer unused)
{
  for (guint i = 0; i < site.nodes; i++)
    send_request (nodes[i].public_port, "GET", "/ready", NULL, 1, probe_done, GUINT_TO_POINTER (i));
  return G_SOURCE_CONTINUE;
}

guint
ready_count (void)
{
  guint n = 0;
  for (guint i = 0; i < site.nodes; i++)
    n += nodes[i].healthy;
  return n;
}

gboolean all_ready (gpointer unused) { return ready_count () == site.nodes; }

static guint
choose_node (void)
{
  static guint turn;
  for (guint i = 0; i < site.nodes; i++) {
    guint n = ++turn % site.nodes;
    if (nodes[n].healthy)
      return n;
  }
  return turn % site.nodes;
}

/* --- users ---------------------------------------------------------------------------------------- */
void
request_async (guint node, const char *method, const char *path, json_t *body, double timeout_s, AnswerFunc func,
               gpointer data)
{
  send_request (nodes[node].public_port, method, path, body, timeout_s, func, data);
}

typedef struct { gboolean done; guint status; json_t *body; } Sync;
static void
sync_done (guint status, json_t *body, gpointer data)
{
  Sync *s = data;
  s->done = TRUE;
  s->status = status;
  s->body = json_incref (body);
}
static gboolean sync_is_done (gpointer data) { return ((Sync *) data)->done; }

guint
request (guint node, const char *method, const char *path, json_t *body, double timeout_s, json_t **out)
{
  Sync s = { FALSE, 0, NULL };
  request_async (node, method, path, body, timeout_s, sync_done, &s);
  run_until (sync_is_done, &s, timeout_s + 2);
  if (out)
    *out = s.body;
  else
    json_decref (s.body);
  return s.status;
}

typedef struct { Job *job; guint node; const char *what; gint64 sent_at; gboolean was_cancelled, was_done, was_accepted; } Ask;

static Ask *
ask_new (Job *job, const char *what)
{
  Ask *ask = g_new0 (Ask, 1);
  *ask = (Ask){ job, choose_node (), what, now_us (), job->cancelled, job->done, job->accepted };
  return ask;
}

/* The rules about an answer to a question that was asked when the user had been told what `ask` says. */
static void
check_answer (Ask *ask, guint status, json_t *body)
{
  Job *job = ask->job;
  const char *state = json_string_value (json_object_get (body, "Bearing"));
  rec ("user: %s %s at berth-%u: %u %s", ask->what, job->id, ask->node, status, state ? state : "");
  if (ask->was_accepted && (status == 404 || status == 400 || status == 422))
    violation ("forgotten: %s of %s got %u", ask->what, job->id, status);
  if (status == 200 || status == 201 || status == 404)
    job->last_answer_at = now_us ();
  if ((status != 200 && status != 201) || !state)
    return;
  if (g_str_equal (state, "done") && job->n_completed < job->tasks)
    violation ("not_done: %s is called done, %u of %u tasks are", job->id, job->n_completed, job->tasks);
  if ((ask->was_done && !g_str_equal (state, "done")) || (ask->was_cancelled && !g_str_equal (state, "cancelled")))
    violation ("went_back: %s is called %s", job->id, state);
  if (g_str_equal (state, "cancelled") && !job->cancel_asked)
    violation ("went_back: %s is called cancelled, its user did not cancel it", job->id);
  if (!job->accepted) {
    job->accepted = TRUE;
    job->accepted_at = now_us ();
  }
  if (g_str_equal (state, "done") && !job->done) {
    job->done = TRUE;
    job->done_at = now_us ();
  }
  if (g_str_equal (state, "cancelled") && !job->cancelled) {
    job->cancelled = TRUE;
    job->cancelled_at = now_us ();
  }
}

static void poll_job (gpointer data);
static void
poll_answered (guint status, json_t *body, gpointer data)
{
  Ask *ask = data;
  check_answer (ask, status, body);
  if (!ask->job->done && !ask->job->cancelled)
    later (g_rand_double_range (rng, 4, 6), poll_job, ask->job);
  g_free (ask);
}

static void
poll_job (gpointer data)
{
  Job *job = data;
  g_autofree char *path = g_strdup_printf ("/api/jobs/%s", job->id);
  Ask *ask = ask_new (job, "question");
  request_async (ask->node, "GET", path, NULL, 2, poll_answered, ask);
}

static void submit_again (gpointer data) { job_submit (data); }
static void
submit_answered (guint status, json_t *body, gpointer data)
{
  Ask *ask = data;
  check_answer (ask, status, body);
  if (status == 201 || status == 200)
    later (g_rand_double_range (rng, 1, 5), poll_job, ask->job);
  else if (status != 400 && status != 422)
    later (1.1, submit_again, ask->job);
  g_free (ask);
}

void
job_submit (Job *job)
{
  Ask *ask = ask_new (job, "submission");
  if (!job->submitted)
    job->submitted_at = now_us ();
  job->submitted = TRUE;
  request_async (ask->node, "POST", "/api/jobs", job_body (job), 5, submit_answered, ask);
}

static void cancel_again (gpointer data) { job_cancel (data); }
static void
cancel_answered (guint status, json_t *body, gpointer data)
{
  Ask *ask = data;
  check_answer (ask, status, body);
  if (!ask->job->cancelled && !ask->job->done)
    later (1.1, cancel_again, ask->job);
  g_free (ask);
}

void
job_cancel (Job *job)
{
  g_autofree char *path = g_strdup_printf ("/api/jobs/%s/abort", job->id);
  Ask *ask = ask_new (job, "cancellation");
  job->cancel_asked = TRUE;
  request_async (ask->node, "POST", path, NULL, 5, cancel_answered, ask);
}

/* --- start and end -------------------------------------------------------------------------------- */
static void
on_signal (int sig)
{
  for (guint i = 0; i < MAX_NODES; i++)
    if (nodes[i].alive)
      kill (nodes[i].pid, SIGKILL);
  _exit (2);
}

void
platform_start (const char *record_path, int argc, char **argv)
{
  record = fopen (record_path, "w");
  if (!record || argc < 1)
    exit (2);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  command = argv;
  started = tokens_at = cloud_tokens_at = now_us ();
  request_tokens = site.state_rps;
  write_tokens = site.state_write_rps;
  cloud_tokens = 2 * site.cloud_rps;
  guint32 run = (guint32) getpid ();
  g_snprintf (node_host, sizeof node_host, "127.%u.%u.%u", 64 + (run >> 14) % 128, 1 + (run >> 7) % 128, 1 + run % 128);
  rng = g_rand_new_with_seed (57);
  dir = g_dir_make_tmp ("keelrouter-review-XXXXXX", NULL);
  machines = g_hash_table_new (g_str_hash, g_str_equal);
  jobs = g_hash_table_new (g_str_hash, g_str_equal);
  rentals = g_hash_table_new (g_str_hash, g_str_equal);
  store = g_tree_new_full (compare_keys, NULL, g_free, entry_free);
  leases = g_hash_table_new (g_int64_hash, g_int64_equal);
  changes = g_ptr_array_new ();
  follows = g_ptr_array_new ();
  for (guint i = 0; i < site.nodes; i++) {
    nodes[i].public_port = free_port ();
    nodes[i].peer_port = free_port ();
    nodes[i].state_server = serve (on_state, GUINT_TO_POINTER (i), &nodes[i].state_port);
    nodes[i].cloud_server = serve (on_cloud, GUINT_TO_POINTER (i), &nodes[i].cloud_port);
  }
  for (guint i = 0; i < site.nodes; i++)
    write_settings (i);
  g_timeout_add (20, state_tick, NULL);
  g_timeout_add (20, machines_tick, NULL);
  g_timeout_add (1000, probe_all, NULL);
  for (guint i = 0; i < site.nodes; i++)
    node_start (i);
}

void
platform_end (void)
{
  for (guint i = 0; i < site.nodes; i++) {
    if (!nodes[i].alive)
      continue;
    nodes[i].alive = FALSE;
    kill (nodes[i].pid, SIGKILL);
  }
  if (g_getenv ("KEEP"))
    printf ("logs in %s\n", dir);
  else
    for (guint i = 0; i < site.nodes; i++) {
      unlink (nodes[i].settings);
      unlink (nodes[i].log);
    }
  if (!g_getenv ("KEEP"))
    rmdir (dir);
}
