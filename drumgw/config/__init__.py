"""Files that operators write: what they may say, checked whole, and what they come to."""
