/* Backend of the soak test: the nodes run as processes in real time, and the fakes' messages
 * (fakes.h) go over HTTP on loopback. */
#pragma once
#include "fakes.h"

/* Starts the fakes and the nodes. All addresses are in 127.<net>.0.0/16: runs side by side need
 * different networks. Logs and settings are written to `dir`. */
void backend_start (guint net, const char *program, const char *dir, guint32 seed,
                    const SimOptions *options);
/* Returns whether no other run uses the network now. */
gboolean backend_net_is_free (guint net);
/* Kills all nodes. */
void backend_stop (void);
/* Returns the node that holds the leader's key, or -1. */
int backend_leader (void);
/* Records the error lines of the nodes' logs (e.g. broken invariants) and the sanitizers' findings
 * as violations. */
void backend_check_logs (void);
