/** Lets real time go by; for the real fleet only. */
export function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
