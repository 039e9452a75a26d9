"""The real gateway of lisboa-assist: two fronts on one core round the decisions of `hillridge`."""
