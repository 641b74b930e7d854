/** How one field of an older format is written in the newer one. */
interface FieldRenaming {
  /** The field's new name; left out, the name stays. */
  readonly to?: string;
  /** Fields of the value, or of each element where the value is an array. */
  readonly fields?: FieldRenamings;
  /** The value is a record by free keys; the renamings apply to each of its values. */
  readonly record?: boolean;
  /** Old text to new text, for a value that is one of these. */
  readonly values?: Readonly<Record<string, string>>;
}

/** Old field name to new field name, or to a renaming that also covers the value. Used by renameFields. */
export interface FieldRenamings {
  readonly [field: string]: string | FieldRenaming;
}
