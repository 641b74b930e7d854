import type { Replica } from '@pewterlanding/agent';

/** A replica that may get tasks: announced, allowed by the setup, and neither leaving nor silent. */
export interface ReplicaRow {
  readonly replica: Replica;
  /** Tasks that other fronts have under way there. */
  readonly others: number;
  /** Its announcements are late: taken only where no other has room. */
  readonly late: boolean;
}
