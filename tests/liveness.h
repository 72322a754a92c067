/* The checker's liveness rule: a while after the last trouble every controller whose process lives
 * is ready, and every part has such an owner. */
#pragma once
#include <glib.h>

/* The last trouble is over now; the check is put off from an earlier such moment. */
void liveness_faults_over (void);
