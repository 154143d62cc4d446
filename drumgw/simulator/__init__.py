"""The drill: hosts many gatekeepers on the bench's wire. Translates only; decides nothing."""
