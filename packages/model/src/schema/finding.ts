/** Something wrong with what was handed in, and where. */
export interface Finding {
  readonly place: string;
  readonly message: string;
}
